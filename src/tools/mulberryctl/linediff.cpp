#include "tools/mulberryctl/linediff.h"

#include "libs/base/textfile.h"

#include <algorithm>
#include <cstdint>
#include <vector>

#include <fmt/format.h>

namespace mulberry {

namespace {

using text_lines = std::vector<std::string_view>;

/// Maximum number of cells in the table of the longest common subsequence, which limits time and memory. A larger
/// difference is shown as one block of removed and added lines.
constexpr std::size_t max_table_cells = 16'000'000;

/// Table of the lengths of the longest common subsequences for all pairs of suffixes of the two texts.
class subsequence_lengths {
public:
    subsequence_lengths(const text_lines& first, const text_lines& second)
        : m_width(second.size() + 1), m_cells((first.size() + 1) * m_width)
    {
        for (std::size_t i = first.size(); i-- > 0;) {
            for (std::size_t j = second.size(); j-- > 0;) {
                m_cells[i * m_width + j] =
                    first[i] == second[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    std::uint32_t at(std::size_t i, std::size_t j) const { return m_cells[i * m_width + j]; }

private:
    std::size_t m_width;
    std::vector<std::uint32_t> m_cells;
};

/// Writes differing lines in groups; takes the lines in the order in which they occur in the texts.
class difference_writer {
public:
    explicit difference_writer(std::size_t line) : m_line(line) {}

    void skip_equal_line()
    {
        ++m_line;
        m_in_group = false;
    }
    void write_removed(std::string_view text)
    {
        write("- ", text);
        ++m_line;
    }
    void write_added(std::string_view text) { write("+ ", text); }
    std::string take() { return std::move(m_text); }

private:
    void write(std::string_view mark, std::string_view text)
    {
        if (!m_in_group)
            m_text += fmt::format("@@ line {} @@\n", m_line);
        m_in_group = true;
        m_text += fmt::format("{}{}\n", mark, text);
    }

    std::string m_text;
    std::size_t m_line;
    bool m_in_group = false;
};

void write_differences(const text_lines& first, const text_lines& second, difference_writer& writer)
{
    std::size_t i = 0;
    std::size_t j = 0;
    const bool fits_table = (first.size() + 1) * (second.size() + 1) <= max_table_cells;
    if (fits_table) {
        const subsequence_lengths lengths(first, second);
        while (i < first.size() && j < second.size()) {
            if (first[i] == second[j]) {
                writer.skip_equal_line();
                ++i;
                ++j;
            }
            else if (lengths.at(i + 1, j) >= lengths.at(i, j + 1)) {
                writer.write_removed(first[i++]);
            }
            else {
                writer.write_added(second[j++]);
            }
        }
    }
    for (; i < first.size(); ++i)
        writer.write_removed(first[i]);
    for (; j < second.size(); ++j)
        writer.write_added(second[j]);
}

} // namespace

std::string line_difference(std::string_view first, std::string_view second)
{
    text_lines from = split_lines(first);
    text_lines to = split_lines(second);
    const auto [from_end, to_end] = std::ranges::mismatch(from, to);
    const auto equal_head = static_cast<std::size_t>(from_end - from.begin());
    from.erase(from.begin(), from_end);
    to.erase(to.begin(), to_end);
    while (!from.empty() && !to.empty() && from.back() == to.back()) {
        from.pop_back();
        to.pop_back();
    }
    difference_writer writer(equal_head + 1);
    write_differences(from, to, writer);
    return writer.take();
}

} // namespace mulberry
