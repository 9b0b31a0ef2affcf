#pragma once

#include "libs/base/timerservice.h"
#include "plugins/quota/quotamessages.h"
#include "plugins/quota/quotasettings.h"

#include <cstddef>
#include <map>
#include <optional>
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
    /// Empties all buckets, because an earlier coordinator may have granted their tokens. Must be called when the node
    /// becomes the coordinator, before its first grant. The nodes' reports tell the levels that the earlier coordinator
    /// has left.
    void begin_term();

    /// Returns the grant for a report. `nodes` is the number of nodes that may use even shares.
    quota_grant grant(const std::string& from, const quota_report& report, std::size_t nodes);

private:
    struct bucket {
        quota_limit limit;
        /// May be negative after a grant that a later report showed to be too large.
        double tokens = 0;
        time_point updated_at;
        /// Level that an earlier coordinator has left, as far as it is known.
        std::optional<double> earlier_level;
    };

    /// Fraction of each rate that is withheld for nodes that have not reported recently, which may use their even
    /// shares.
    double withheld_fraction(std::size_t nodes);
    void refill(bucket& target, double withheld);
    /// Takes over the level that an earlier coordinator has left. The lowest reported one counts: a level falls with
    /// each grant, and each grant goes to a node that reports.
    static void learn_level(bucket& target, double level);
    /// Gives initial tokens to the buckets of which no node has reported a level.
    void assume_unknown_levels();
    /// Returns the initial level of a bucket whose earlier grants are unknown.
    double initial_tokens(const quota_limit& limit) const;

    quota_settings m_settings;
    const timer_service& m_timers;
    std::map<std::string, bucket, std::less<>> m_buckets;
    std::map<std::string, time_point> m_last_report_times;
    time_point m_term_began_at;
    /// True once the levels that no node reported are assumed.
    bool m_assumes_levels = true;
};

} // namespace mulberry
