#pragma once

#include "libs/base/time.h"

#include <string>

namespace mulberry {

/// Requests per second and burst of an organisation over all nodes; a rate of 0 means no limit.
struct quota_limit {
    std::string organisation;
    double rate = 0;
    double burst = 0;

    bool operator==(const quota_limit&) const = default;
};

struct quota_settings {
    /// How often a node reports to the keeper, also without demand.
    duration report_period{std::chrono::milliseconds(500)};
    /// Tokens are fetched ahead for the demand of this time.
    duration prefetch{std::chrono::milliseconds(400)};
    /// Tokens that were not used in this time are given up.
    duration token_lifetime{std::chrono::milliseconds(1500)};
    /// How long a request waits for the keeper's answer.
    duration wait{std::chrono::milliseconds(90)};
    /// After this time without an answer of the keeper a node uses its even share of each rate.
    duration fallback_after{std::chrono::seconds(2)};
    /// The keeper holds back the even share of each node that it has not heard for this long. Shorter than
    /// fallback_after, so that the shares of both sides never overlap.
    duration silent_after{std::chrono::milliseconds(1400)};
    /// While the keeper has no tokens, requests are refused at once for this time.
    duration dry_time{std::chrono::milliseconds(150)};
    /// Seconds of its rate with which a new keeper's bucket starts; the tokens that its predecessor gave out are
    /// unknown to it.
    double start_seconds = 0.5;
    /// Tokens over all nodes together with which the even shares start.
    double fallback_start = 12;
};

} // namespace mulberry
