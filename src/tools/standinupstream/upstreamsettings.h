#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// How the health endpoint answers.
enum class health_mode : std::uint8_t { honest, always_healthy, always_failing };

std::optional<health_mode> health_mode_from_string(std::string_view name);

/// A call that the upstream makes while it runs a request.
struct nested_call {
    std::string method;
    /// "/service/rest".
    std::string path;
};

/// What may change while the stand-in runs.
struct upstream_behaviour {
    /// Time that a request takes in its slot, without its nested calls.
    duration latency{std::chrono::milliseconds(20)};
    /// Part of the latency by which single requests differ from it, up or down.
    double spread = 0;
    /// Part of the requests that fail after their latency.
    double failure_rate = 0;
    int failure_status = 500;
    health_mode health = health_mode::honest;
    /// Requests wait for a slot without limit when false, and get 503 at once when true.
    bool refuse_when_full = false;
    std::vector<nested_call> nested;
    /// Base URL of the daemon's address for nested calls; nested calls need it.
    std::string daemon_url;
};

struct upstream_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint32_t slots = 120;
    /// For this time after the start requests are slower; the factor falls to 1 evenly.
    duration cold_start{0};
    double cold_factor = 5;
    duration nested_timeout{std::chrono::seconds(30)};
    duration drain_limit{std::chrono::seconds(30)};
    std::uint64_t seed = 1;
    upstream_behaviour behaviour;
};

/// Reads "METHOD /service/rest"; empty for any other form.
std::optional<nested_call> parse_nested_call(std::string_view text);

struct upstream_command_line {
    /// Text to print instead of running: help, or what is wrong with the arguments.
    std::string text;
    bool valid = true;
    upstream_settings settings;
};

upstream_command_line parse_upstream_command_line(std::span<const std::string> arguments);

/// Changes the members that the JSON object names. Returns what is wrong, or an empty text; then nothing changes.
std::string change_behaviour(upstream_behaviour& behaviour, std::string_view json_text);

} // namespace mulberry
