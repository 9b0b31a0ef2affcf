#pragma once

#include "libs/base/importance.h"
#include "libs/base/refusal.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace mulberry {

/// Time of day, for people; never used for decisions.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// At which side of a hop a decision was taken.
enum class hop_role : std::uint8_t { entry = 1, guard = 2 };

/// What one node decided about one request at one hop, and why. Contains no key material.
struct decision_record {
    std::string request_id;
    /// Depth in the call tree; the caller's request has hop 0.
    std::uint32_t hop = 0;
    hop_role role = hop_role::entry;
    /// The node that decided and the other side of the hop, empty if there was none.
    std::string node;
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
    /// HTTP status told to the caller; 0 if none was told.
    std::uint32_t status = 0;
    outcome result = outcome::not_run;
    /// What could not be found out, in a few words; empty if nothing.
    std::string unknown;
    wall_time received{};
    /// Time spent waiting in queues and in total.
    duration waited{0};
    duration took{0};

    bool operator==(const decision_record&) const = default;
};

} // namespace mulberry
