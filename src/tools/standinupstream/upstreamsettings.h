#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Response of the health endpoint. `honest` reports a draining instance as failing.
enum class health_mode : std::uint8_t { honest, always_healthy, always_failing };

/// Returns the mode with this name; unset for an unknown name.
std::optional<health_mode> health_mode_from_string(std::string_view name);

/// A call to another service that the upstream makes while it runs a request.
struct nested_call {
    std::string method;
    /// Path at the daemon, "/service/rest".
    std::string path;
};

/// Settings that POST /settings can change while the stand-in runs.
struct upstream_behaviour {
    /// Processing time of a request in its slot, excluding its nested calls.
    duration latency{std::chrono::milliseconds(20)};
    /// Maximum deviation of a request's latency, as a fraction of the latency in both directions, from 0 to 1.
    double spread = 0;
    /// Fraction of the requests that fail after their latency, from 0 to 1.
    double failure_rate = 0;
    int failure_status = 500;
    health_mode health = health_mode::honest;
    /// Responds with 503 immediately if no slot is free; otherwise requests wait for a slot without a time limit.
    bool refuse_when_full = false;
    std::vector<nested_call> nested;
    /// Base URL of the daemon that receives the nested calls; required if there are any.
    std::string daemon_url;
};

/// Settings of the stand-in.
struct upstream_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint32_t slots = 120;
    /// Duration after the start in which requests are slower. The latency is multiplied by a factor that decreases
    /// linearly from cold_factor to 1.
    duration cold_start{0};
    double cold_factor = 5;
    duration nested_timeout{std::chrono::seconds(30)};
    duration drain_limit{std::chrono::seconds(30)};
    std::uint64_t seed = 1;
    upstream_behaviour behaviour;
};

/// Parses "METHOD /service/rest"; unset for any other form.
std::optional<nested_call> parse_nested_call(std::string_view text);

/// The parsed command line of standinupstream.
struct upstream_command_line {
    /// Text to print instead of running: the help text or an error message. Empty if the server is to run.
    std::string text;
    bool valid = true;
    upstream_settings settings;
};

upstream_command_line parse_upstream_command_line(std::span<const std::string> arguments);

/// Changes the members that the JSON object contains. Returns an empty text, or an error message if the object is
/// invalid; the behaviour is unchanged in that case.
std::string change_behaviour(upstream_behaviour& behaviour, std::string_view json_text);

} // namespace mulberry
