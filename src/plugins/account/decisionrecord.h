#pragma once

#include "libs/base/importance.h"
#include "libs/base/refusal.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace mulberry {

/// Wall-clock time for display. Decisions never depend on it.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// The side of a hop that took a decision.
enum class hop_role : std::uint8_t { entry = 1, guard = 2 };

/// The decision of one node about one request at one hop, and the reason for it. Contains no key material.
struct decision_record {
    std::string request_id;
    /// The same for all requests with the same content; 0 if it is not known.
    std::uint64_t fingerprint = 0;
    /// Depth in the call tree; the caller's request has hop 0.
    std::uint32_t hop = 0;
    hop_role role = hop_role::entry;
    /// The node that took the decision.
    std::string node;
    /// The node on the other side of the hop; empty if there was none.
    std::string peer;
    std::string organisation;
    std::string service;
    std::string route;
    importance level = importance::normal;
    bool idempotent = false;
    /// Empty if the request was admitted.
    std::optional<refusal_reason> reason;
    std::uint32_t attempts = 0;
    std::int64_t configuration_revision = 0;
    /// HTTP status of the response to the caller; 0 if there was no response.
    std::uint32_t status = 0;
    outcome result = outcome::not_run;
    /// A short description of what could not be determined; empty if everything is known.
    std::string unknown;
    wall_time received{};
    /// Time that the request spent in queues.
    duration waited{0};
    /// Total duration.
    duration took{0};

    bool operator==(const decision_record&) const = default;
};

} // namespace mulberry
