#pragma once

#include "libs/base/decayingmean.h"
#include "libs/base/importance.h"
#include "libs/base/randomsource.h"
#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "plugins/admission/downstreamload.h"

#include <array>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace mulberry {

/// How late a request is refused among those that lead to a bottleneck: by its importance, and within that by the
/// importance of its route, which differs where the organisation has an importance of its own.
struct request_rank {
    importance level = importance::normal;
    importance route = importance::normal;
};

struct bottleneck_throttle_settings {
    /// Part of the calls to a bottleneck that may be refused: enough to show that it is used to the full.
    double wanted_refusals = 0.01;
    /// Growth of the refused part of the demand per second and per refused part of the calls above the wanted one.
    double growth_per_second = 3;
    /// Fall of the refused part per second while the bottleneck refuses less than wanted.
    double fall_per_second = 0.15;
    /// Part of each rank that is admitted while others are not refused altogether; no kind of request is starved.
    double least_admitted = 0.4;
    /// Largest part of the demand that is refused.
    double most_refused = 0.6;
    /// Retry-After of a refusal; the jitter makes it 0.5 to 1.5 times this.
    duration retry_after{1'000'000};
};

/// Refuses requests at the entry because a service further down their call graph lacks room: a call that is refused
/// deep in the graph fails the whole request with the work done for it. The least important requests go first, across
/// all routes that lead to the bottleneck. Which ones lead there is learned: the answers say which services below lack
/// room, and a route whose requests fail far less often than calls are refused there makes no such calls.
class bottleneck_throttle {
public:
    bottleneck_throttle(bottleneck_throttle_settings settings, timer_service& timers, random_source& random);

    /// Takes an answer of an upstream to a request on the route, and what it reports of the services below.
    void observe(std::string_view route, bool failed, std::span<const downstream_load> loads);

    /// Decides on one request: empty to let it through, otherwise "not run" with reason `entry_throttled`.
    std::optional<refusal> check(std::string_view route, request_rank rank);

    /// Part of the requests that is let through now, in (0, 1].
    double admitted_part(std::string_view route, request_rank rank);

private:
    struct route_state {
        /// When an answer last named the bottleneck.
        time_point named;
        /// Failed answers, and how many there would be if each request made one call to the bottleneck; fading.
        double failures = 0;
        double expected = 0;
        time_point updated;

        bool leads_there() const;
    };
    struct bottleneck {
        decaying_mean refusals;
        /// Refused part of the demand.
        double refused_part = 0;
        time_point adjusted;
        std::map<std::string, route_state, std::less<>> routes;

        bool is_below(std::string_view route) const;
        /// Requests per rank that would lead here, the least important first, with fading weight.
        std::array<double, all_importances.size() * all_importances.size()> demand{};
        time_point demand_updated;
    };

    void adjust(std::string_view name, bottleneck& current);
    void note_failure(route_state& state, bool failed, double refused_share) const;
    void note_demand(bottleneck& current, request_rank rank) const;
    double admitted_part(const bottleneck& current, request_rank rank) const;

    bottleneck_throttle_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
    std::map<std::string, bottleneck, std::less<>> m_bottlenecks;
};

} // namespace mulberry
