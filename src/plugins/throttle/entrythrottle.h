#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "plugins/admission/loadreport.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mulberry {

struct throttle_settings {
    /// Interval at which the admitted share is adjusted. It is longer than the time until responses show the effect of
    /// a change.
    duration interval{200'000};
    /// Ratio of the demand that the entry admits to what the guards admit. It is above 1, so that free capacity is
    /// detected and used.
    double headroom = 1.05;
    /// While nothing is shed, the admitted share grows towards this utilisation of the busiest hop.
    double target_utilisation = 0.95;
    /// Bounds of the growth factor per interval, and the growth factor while there are no reports.
    double min_growth_factor = 1.05;
    double max_growth_factor = 8;
    double growth_factor_without_reports = 1.25;
    /// Minimum admitted share, so that some requests probe an overloaded service.
    double min_admitted_share = 0.03;
    /// Minimum admitted share of high and critical requests, which are few and are admitted first after a stall.
    double min_important_admitted_share = 0.1;
    /// Retry-After of a refusal, before jitter of 0.5 to 1.5 times this value.
    duration retry_after{1'000'000};
};

/// Refuses requests at the entry before any hop has done work for them, by organisation and importance. It follows the
/// share that the guards admit; without recent reports the admitted share grows back to 1.
class entry_throttle {
public:
    entry_throttle(throttle_settings settings, timer_service& timers, random_source& random);

    /// Records the load report in a response to a request of the organisation.
    void observe(std::string_view service, std::string_view upstream, std::string_view organisation,
                 const load_report& report);
    /// Decides on one request. Empty if it is admitted, otherwise "not run" with reason `entry_throttled`.
    std::optional<refusal> check(std::string_view service, importance level, std::string_view organisation);

    /// Share of the requests that is admitted now, in (0, 1].
    double current_admitted_share(std::string_view service, importance level, std::string_view organisation);

private:
    /// Service and organisation.
    using key = std::pair<std::string, std::string>;
    struct upstream_view {
        load_report report;
        std::uint32_t responses = 0;
    };
    struct state {
        std::array<double, all_importances.size()> admitted_shares{1, 1, 1, 1};
        std::map<std::string, upstream_view, std::less<>> reports;
        time_point adjusted_at;
    };

    /// Utilisation of the busiest hop of the calls to a service. It is measured over the responses to all
    /// organisations, because a heavily throttled organisation gets too few responses of its own.
    struct service_utilisation {
        double utilisation_sum = 0;
        double responses = 0;
        /// Mean of the last complete interval; zero if there were no responses.
        double utilisation = 0;
        time_point interval_start;
    };

    void close_interval(service_utilisation& load) const;
    double growth_factor_of(std::string_view service);
    void adjust(std::string_view service, state& current);

    throttle_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
    std::map<key, state> m_states;
    std::map<std::string, service_utilisation, std::less<>> m_utilisations;
};

} // namespace mulberry
