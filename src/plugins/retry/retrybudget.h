#pragma once

#include "libs/base/importance.h"
#include "libs/base/timerservice.h"

namespace mulberry {

struct retry_budget_settings {
    /// Tokens earned by each success.
    double earned_per_success = 0.1;
    /// Tokens earned per second without successes, so that a service with little traffic can retry.
    double floor_per_second = 1;
    /// Most tokens kept.
    double capacity = 20;
    /// Part of the capacity that only high and critical requests may use, because under overload the less important
    /// ones fail more often and would spend everything.
    double important_reserve = 0.5;
};

/// Token bucket that limits the retries of this node to one service to a fraction of its recent successes.
class retry_budget {
public:
    retry_budget(retry_budget_settings settings, timer_service& timers);

    void on_success();
    void configure(const retry_budget_settings& settings);
    /// Takes one token for a retry; false if less than one is left for the importance.
    bool take(importance level);
    double available() const;

private:
    retry_budget_settings m_settings;
    timer_service& m_timers;
    double m_level;
    time_point m_updated;
};

} // namespace mulberry
