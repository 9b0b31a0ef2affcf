#pragma once

#include "libs/base/timerservice.h"
#include "plugins/retry/retrybudget.h"

namespace mulberry {

struct earned_retry_budget_settings {
    /// Tokens added for each success.
    double tokens_per_success = 0.1;
    /// Tokens added per second regardless of successes, so that requests to a service with little traffic can be
    /// retried.
    double base_tokens_per_second = 1;
    /// Maximum number of tokens.
    double capacity = 20;
    /// Fraction of the capacity that is reserved for requests of high and critical importance. Under overload less
    /// important requests fail more often and would otherwise use all tokens.
    double reserved_fraction = 0.5;
};

/// Token bucket that limits the retries of this node to one service to a fraction of the recent successes.
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
    double m_tokens;
    time_point m_updated_at;
};

} // namespace mulberry
