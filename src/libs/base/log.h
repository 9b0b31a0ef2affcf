#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <fmt/format.h>

namespace mulberry {

enum class log_level : std::uint8_t { debug, info, warning, error, off };

std::optional<log_level> log_level_from_string(std::string_view name);

/// Lines below this level are not written. The default is info. May be called from any thread.
void set_log_level(log_level level);
log_level current_log_level();

/// Sends all lines to standard output as "level=... part=... msg=..." instead, at most this many in a second. Lines
/// beyond that, and lines that the reader of the pipe is too slow for, are counted and left out; a line says how many.
void use_structured_log(std::uint32_t lines_per_second);

/// Writes a line with fields "name=value" in place of a sentence, if use_structured_log has been called. These lines
/// use three quarters of the rate at most, so that they do not push out sentences.
void log_fields(log_level level, std::string_view part, std::string_view fields);

/// Lines that were left out since the start.
std::uint64_t log_lines_left_out();

namespace detail {

/// Writes one line "LEVEL part: text" to standard error, without interleaving with other threads.
void write_log_line(log_level level, std::string_view part, std::string_view text);

template <typename... Args>
void log(log_level level, std::string_view part, fmt::format_string<Args...> format, Args&&... args)
{
    if (level < current_log_level())
        return;
    write_log_line(level, part, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace detail

/// Logs a short sentence with the prefix of a part, for example log_info("admission", "Limit lowered to {}.", 12).
template <typename... Args>
void log_debug(std::string_view part, fmt::format_string<Args...> format, Args&&... args)
{
    detail::log(log_level::debug, part, format, std::forward<Args>(args)...);
}

template <typename... Args>
void log_info(std::string_view part, fmt::format_string<Args...> format, Args&&... args)
{
    detail::log(log_level::info, part, format, std::forward<Args>(args)...);
}

template <typename... Args>
void log_warning(std::string_view part, fmt::format_string<Args...> format, Args&&... args)
{
    detail::log(log_level::warning, part, format, std::forward<Args>(args)...);
}

template <typename... Args>
void log_error(std::string_view part, fmt::format_string<Args...> format, Args&&... args)
{
    detail::log(log_level::error, part, format, std::forward<Args>(args)...);
}

} // namespace mulberry
