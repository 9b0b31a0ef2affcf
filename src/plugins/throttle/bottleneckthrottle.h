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

/// Rank of a request among those that lead to a bottleneck; requests of lower rank are refused first. Requests are
/// ranked by importance, then by the importance of their route, which differs if the organisation has an importance of
/// its own.
struct request_rank {
    importance level = importance::normal;
    importance route = importance::normal;
};

struct bottleneck_throttle_settings {
    /// Target share of the calls to a bottleneck that it refuses. A value above 0 shows that its capacity is fully
    /// used.
    double target_refused_share = 0.01;
    /// Increase of the refused share of the demand, per second and per unit by which the refused share of the calls
    /// exceeds the target.
    double increase_per_second = 3;
    /// Decrease of the refused share of the demand per second while the bottleneck refuses less than the target.
    double decrease_per_second = 0.15;
    /// Minimum share of the requests of each rank that is admitted, so that no rank is starved.
    double min_admitted_share = 0.4;
    /// Maximum share of the demand that is refused.
    double max_refused_share = 0.6;
    /// Retry-After of a refusal, before jitter of 0.5 to 1.5 times this value.
    duration retry_after{1'000'000};
};

/// Refuses requests at the entry because a downstream service of their call graph is overloaded. A call that is refused
/// deep in the graph fails the whole request and wastes the work already done for it. The least important requests are
/// refused first, across all routes that lead to the bottleneck. These routes are learned: responses report which
/// downstream services are overloaded, and a route whose requests fail far less often than the bottleneck refuses calls
/// is assumed not to call it.
class bottleneck_throttle {
public:
    bottleneck_throttle(bottleneck_throttle_settings settings, timer_service& timers, random_source& random);

    /// Records the response of an upstream to a request on the route, and the downstream loads that it reports.
    void observe(std::string_view route, bool failed, std::span<const downstream_load> loads);

    /// Decides on one request. Empty if it is admitted, otherwise "not run" with reason `entry_throttled`.
    std::optional<refusal> check(std::string_view route, request_rank rank);

    /// Share of the requests that is admitted now, in (0, 1].
    double current_admitted_share(std::string_view route, request_rank rank);

private:
    struct route_state {
        /// When a response last reported the bottleneck.
        time_point last_reported_at;
        /// Number of failed responses, and the number expected if each request made one call to the bottleneck. Both
        /// decay exponentially.
        double failures = 0;
        double expected_failures = 0;
        time_point updated_at;

        bool leads_to_bottleneck() const;
    };
    struct bottleneck {
        decaying_mean refused_calls;
        /// Share of the demand that is refused.
        double refused_demand_share = 0;
        time_point adjusted_at;
        std::map<std::string, route_state, std::less<>> routes;

        bool is_downstream_of(std::string_view route) const;
        /// Number of requests per rank that lead to the bottleneck, the least important first, with exponential decay.
        std::array<double, all_importances.size() * all_importances.size()> demand{};
        time_point demand_updated_at;
    };

    void adjust(std::string_view name, bottleneck& current);
    void record_failure(route_state& state, bool failed, double refused_share) const;
    void record_demand(bottleneck& current, request_rank rank) const;
    double current_admitted_share(const bottleneck& current, request_rank rank) const;

    bottleneck_throttle_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
    std::map<std::string, bottleneck, std::less<>> m_bottlenecks;
};

} // namespace mulberry
