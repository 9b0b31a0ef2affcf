#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <fmt/format.h>

namespace mulberry {

enum class log_level : std::uint8_t { debug, info, warning, error, off };

std::optional<log_level> log_level_from_string(std::string_view name);

/// Sets the minimum level of the lines that are written. The default is info. May be called from any thread.
void set_log_level(log_level level);
log_level current_log_level();

/// Switches from standard error to standard output, with lines of the form "level=... part=... msg=..." and at most
/// this many lines per second. Lines above this rate, and lines that would block because the reader of the pipe is too
/// slow, are dropped and counted. A later line reports their number.
void use_structured_log(std::uint32_t lines_per_second);

/// Writes a line with "name=value" fields instead of a message; has no effect unless use_structured_log was called.
/// These lines use at most three quarters of the permitted rate, so that they do not displace messages.
void log_fields(log_level level, std::string_view component, std::string_view fields);

/// Returns the number of lines dropped since the start of the process.
std::uint64_t dropped_log_lines();

namespace detail {

/// Writes one line "LEVEL component: text" to standard error, or the structured form to standard output. Lines of
/// different threads do not interleave.
void write_log_line(log_level level, std::string_view component, std::string_view text);

template <typename... Args>
void log(log_level level, std::string_view component, fmt::format_string<Args...> format, Args&&... args)
{
    if (level < current_log_level())
        return;
    write_log_line(level, component, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace detail

/// Logs a short sentence, prefixed with the name of a component, for example
/// log_info("admission", "Limit lowered to {}.", 12).
template <typename... Args>
void log_debug(std::string_view component, fmt::format_string<Args...> format, Args&&... args)
{
    detail::log(log_level::debug, component, format, std::forward<Args>(args)...);
}

template <typename... Args>
void log_info(std::string_view component, fmt::format_string<Args...> format, Args&&... args)
{
    detail::log(log_level::info, component, format, std::forward<Args>(args)...);
}

template <typename... Args>
void log_warning(std::string_view component, fmt::format_string<Args...> format, Args&&... args)
{
    detail::log(log_level::warning, component, format, std::forward<Args>(args)...);
}

template <typename... Args>
void log_error(std::string_view component, fmt::format_string<Args...> format, Args&&... args)
{
    detail::log(log_level::error, component, format, std::forward<Args>(args)...);
}

} // namespace mulberry
