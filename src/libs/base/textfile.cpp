#include "libs/base/textfile.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace mulberry {

std::optional<std::string> read_text_file(const std::string& name)
{
    std::error_code error;
    if (std::filesystem::is_directory(name, error))
        return std::nullopt;
    std::ifstream stream(name, std::ios::binary);
    if (!stream)
        return std::nullopt;
    std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    return stream.bad() ? std::nullopt : std::optional(std::move(text));
}

std::vector<std::string_view> split_lines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

} // namespace mulberry
