#include "libs/base/log.h"

#include "libs/base/lograte.h"

#include <array>
#include <atomic>
#include <chrono>
#include <climits>
#include <cstdio>
#include <mutex>
#include <string>

#include <poll.h>
#include <unistd.h>

namespace mulberry {

namespace {

constexpr std::array<std::string_view, 5> level_names{"debug", "info", "warning", "error", "off"};

std::atomic<log_level> threshold{log_level::info};
std::mutex output_mutex;

} // namespace

std::optional<log_level> log_level_from_string(std::string_view name)
{
    for (std::size_t i = 0; i < level_names.size(); ++i) {
        if (level_names[i] == name)
            return static_cast<log_level>(i);
    }
    return std::nullopt;
}

void set_log_level(log_level level)
{
    threshold.store(level, std::memory_order_relaxed);
}

log_level current_log_level()
{
    return threshold.load(std::memory_order_relaxed);
}

namespace {

std::string quoted(std::string_view text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return out + '"';
}

/// Lines with fields come for each request. The rest of the rate is left to what happens seldom, like starts and stops.
constexpr double fields_rate_part = 0.75;

/// Standard output as a log that never blocks and never grows beyond its rate.
class structured_output {
public:
    void start(std::uint32_t lines_per_second) { m_rate.start(lines_per_second); }
    bool started() const { return m_rate.started(); }
    std::uint64_t left_out() const { return m_left_out_total; }

    /// The line may use the rate up to a part of it.
    void write(log_level level, std::string_view part, std::string_view fields, double rate_part)
    {
        if (m_rate.begin_second(std::chrono::steady_clock::now()) && m_left_out > 0 &&
            put(fmt::format("level=warning part=log left_out={}\n", m_left_out)))
            m_left_out = 0;
        const std::string_view name = level_names[static_cast<std::size_t>(level)];
        if (!m_rate.allows(rate_part) || !put(fmt::format("level={} part={} {}\n", name, part, fields))) {
            ++m_left_out;
            ++m_left_out_total;
            return;
        }
        m_rate.count_line();
    }

private:
    /// False if the line cannot be written at once. A pipe that is ready takes a line of up to PIPE_BUF bytes whole.
    static bool put(std::string_view line)
    {
        pollfd ready{STDOUT_FILENO, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0 || line.size() > PIPE_BUF)
            return false;
        return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    }

    detail::log_rate m_rate;
    std::uint64_t m_left_out = 0;
    std::uint64_t m_left_out_total = 0;
};

structured_output& output()
{
    static structured_output shared;
    return shared;
}

} // namespace

void use_structured_log(std::uint32_t lines_per_second)
{
    const std::lock_guard lock(output_mutex);
    output().start(lines_per_second);
}

void log_fields(log_level level, std::string_view part, std::string_view fields)
{
    const std::lock_guard lock(output_mutex);
    if (level >= current_log_level() && output().started())
        output().write(level, part, fields, fields_rate_part);
}

std::uint64_t log_lines_left_out()
{
    const std::lock_guard lock(output_mutex);
    return output().left_out();
}

void detail::write_log_line(log_level level, std::string_view part, std::string_view text)
{
    const std::lock_guard lock(output_mutex);
    if (output().started())
        return output().write(level, part, "msg=" + quoted(text), 1);
    fmt::print(stderr, "{} {}: {}\n", level_names[static_cast<std::size_t>(level)], part, text);
}

} // namespace mulberry
