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
    /// How often the admitted part is adjusted; longer than an answer takes to show the effect of a change.
    duration interval{200'000};
    /// Demand let through over what the guards admit, so that spare capacity is found and used.
    double headroom = 1.05;
    /// While nothing is shed, the admitted part grows towards this utilisation of the busiest hop.
    double target_utilisation = 0.95;
    /// Bounds of the growth per interval, and the growth while there are no reports.
    double slowest_growth = 1.05;
    double fastest_growth = 8;
    double unknown_growth = 1.25;
    /// Least admitted part; requests that probe an overloaded service.
    double floor = 0.03;
    /// The same for high and critical, which are few and open first after a stall.
    double important_floor = 0.1;
    /// Retry-After of a refusal; the jitter makes it 0.5 to 1.5 times this.
    duration retry_after{1'000'000};
};

/// Refuses requests at the entry before any hop has done work, by organisation and importance. It mirrors the part that
/// the guards admit; without fresh reports the admitted part grows back to 1.
class entry_throttle {
public:
    entry_throttle(throttle_settings settings, timer_service& timers, random_source& random);

    /// Takes the load report of an answer to a request of the organisation.
    void observe(std::string_view service, std::string_view upstream, std::string_view organisation,
                 const load_report& report);
    /// Decides on one request: empty to let it through, otherwise "not run" with reason `entry_throttled`.
    std::optional<refusal> check(std::string_view service, importance level, std::string_view organisation);

    /// Part of the requests that is let through now, in (0, 1].
    double admitted_part(std::string_view service, importance level, std::string_view organisation);

private:
    /// Service and organisation.
    using key = std::pair<std::string, std::string>;
    struct upstream_view {
        load_report report;
        std::uint32_t answers = 0;
    };
    struct state {
        std::array<double, all_importances.size()> part{1, 1, 1, 1};
        std::map<std::string, upstream_view, std::less<>> reports;
        time_point adjusted;
    };

    /// Utilisation of the busiest hop below a service, over the answers to all organisations: an organisation that is
    /// throttled hard gets too few answers of its own.
    struct service_use {
        double sum = 0;
        double answers = 0;
        /// Mean of the last complete interval; zero without answers.
        double utilisation = 0;
        time_point started;
    };

    void close_interval(service_use& use) const;
    double growth_of(std::string_view service);
    void adjust(std::string_view service, state& current);

    throttle_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
    std::map<key, state> m_states;
    std::map<std::string, service_use, std::less<>> m_uses;
};

} // namespace mulberry
