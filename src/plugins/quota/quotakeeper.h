#pragma once

#include "libs/base/timerservice.h"
#include "plugins/quota/quotamessages.h"
#include "plugins/quota/quotasettings.h"

#include <cstddef>
#include <map>
#include <string>

namespace mulberry {

/// Gives out the tokens of all organisations, one bucket each. One node of the fleet is the keeper at a time.
class quota_keeper {
public:
    quota_keeper(const quota_settings& settings, const timer_service& timers) : m_settings(settings), m_timers(timers)
    {
    }

    void set_limits(const std::map<std::string, quota_limit, std::less<>>& limits);
    /// Forgets what was given out; to be called when the node becomes the keeper.
    void restart();

    /// Answers a report. `nodes` is the number of nodes that may use even shares.
    quota_grant grant(const std::string& from, const quota_report& report, std::size_t nodes);

private:
    struct bucket {
        quota_limit limit;
        double level = 0;
        time_point updated;
    };

    /// Part of the rates that nodes out of touch may be using on their own.
    double held_back(std::size_t nodes);
    void refill(bucket& subject, double held);
    /// Tokens of a bucket of which nothing is known.
    double start_level(const quota_limit& limit) const;

    quota_settings m_settings;
    const timer_service& m_timers;
    std::map<std::string, bucket, std::less<>> m_buckets;
    std::map<std::string, time_point> m_heard;
};

} // namespace mulberry
