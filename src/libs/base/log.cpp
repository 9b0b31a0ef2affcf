#include "libs/base/log.h"

#include "libs/base/logratelimiter.h"

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

std::atomic<log_level> min_level{log_level::info};
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
    min_level.store(level, std::memory_order_relaxed);
}

log_level current_log_level()
{
    return min_level.load(std::memory_order_relaxed);
}

namespace {

std::string quote(std::string_view text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return out + '"';
}

/// Lines with fields are written for each request. The remaining quarter of the rate is reserved for rare events such
/// as starts and stops.
constexpr double fields_rate_fraction = 0.75;

/// Writes log lines to standard output without ever blocking, at a limited rate.
class structured_output {
public:
    void start(std::uint32_t lines_per_second) { m_rate.start(lines_per_second); }
    bool started() const { return m_rate.started(); }
    std::uint64_t dropped_lines() const { return m_total_drops; }

    /// Writes the line if fewer lines than this fraction of the rate have been written in the current second.
    void write(log_level level, std::string_view component, std::string_view fields, double rate_fraction)
    {
        if (m_rate.begin_second(std::chrono::steady_clock::now()) && m_unreported_drops > 0 &&
            try_write(fmt::format("level=warning part=log left_out={}\n", m_unreported_drops)))
            m_unreported_drops = 0;
        const std::string_view name = level_names[static_cast<std::size_t>(level)];
        if (!m_rate.allows(rate_fraction) ||
            !try_write(fmt::format("level={} part={} {}\n", name, component, fields))) {
            ++m_unreported_drops;
            ++m_total_drops;
            return;
        }
        m_rate.count_line();
    }

private:
    /// Returns false if the line cannot be written without blocking. A pipe that is ready for writing accepts up to
    /// PIPE_BUF bytes atomically.
    static bool try_write(std::string_view line)
    {
        pollfd ready{STDOUT_FILENO, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0 || line.size() > PIPE_BUF)
            return false;
        return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    }

    detail::log_rate_limiter m_rate;
    std::uint64_t m_unreported_drops = 0;
    std::uint64_t m_total_drops = 0;
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

void log_fields(log_level level, std::string_view component, std::string_view fields)
{
    const std::lock_guard lock(output_mutex);
    if (level >= current_log_level() && output().started())
        output().write(level, component, fields, fields_rate_fraction);
}

std::uint64_t dropped_log_lines()
{
    const std::lock_guard lock(output_mutex);
    return output().dropped_lines();
}

void detail::write_log_line(log_level level, std::string_view component, std::string_view text)
{
    const std::lock_guard lock(output_mutex);
    if (output().started())
        return output().write(level, component, "msg=" + quote(text), 1);
    fmt::print(stderr, "{} {}: {}\n", level_names[static_cast<std::size_t>(level)], component, text);
}

} // namespace mulberry
