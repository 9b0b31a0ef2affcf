#pragma once

#include "libs/base/timerservice.h"
#include "plugins/retry/retrybudget.h"

namespace mulberry {

struct earned_retry_budget_settings {
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
class earned_retry_budget final : public retry_budget {
public:
    earned_retry_budget(earned_retry_budget_settings settings, timer_service& timers);

    void on_request(double /*repeat_share*/) override {}
    void on_success() override;
    bool take(importance level) override;
    double available() const;

private:
    earned_retry_budget_settings m_settings;
    timer_service& m_timers;
    double m_level;
    time_point m_updated;
};

} // namespace mulberry
