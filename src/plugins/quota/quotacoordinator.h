#pragma once

#include "libs/base/timerservice.h"
#include "plugins/quota/quotamessages.h"
#include "plugins/quota/quotasettings.h"

#include <cstddef>
#include <map>
#include <string>

namespace mulberry {

/// Grants the tokens of all organisations from one token bucket per organisation. One node of the fleet is the
/// coordinator at a time.
class quota_coordinator {
public:
    quota_coordinator(const quota_settings& settings, const timer_service& timers)
        : m_settings(settings), m_timers(timers)
    {
    }

    void set_limits(const std::map<std::string, quota_limit, std::less<>>& limits);
    /// Resets all buckets to their initial level. Must be called when the node becomes the coordinator.
    void reset();

    /// Returns the grant for a report. `nodes` is the number of nodes that may use even shares.
    quota_grant grant(const std::string& from, const quota_report& report, std::size_t nodes);

private:
    struct bucket {
        quota_limit limit;
        double tokens = 0;
        time_point updated_at;
    };

    /// Fraction of each rate that is withheld for nodes that have not reported recently, which may use their even
    /// shares.
    double withheld_fraction(std::size_t nodes);
    void refill(bucket& target, double withheld);
    /// Returns the initial level of a bucket whose earlier grants are unknown.
    double initial_tokens(const quota_limit& limit) const;

    quota_settings m_settings;
    const timer_service& m_timers;
    std::map<std::string, bucket, std::less<>> m_buckets;
    std::map<std::string, time_point> m_last_report_times;
};

} // namespace mulberry
