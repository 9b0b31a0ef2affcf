#pragma once

#include "libs/base/importance.h"

namespace mulberry {

/// Limits the retries of this node to one service, so that failures do not multiply the load on the service.
class retry_budget {
public:
    retry_budget() = default;
    retry_budget(const retry_budget&) = delete;
    retry_budget& operator=(const retry_budget&) = delete;
    virtual ~retry_budget() = default;

    /// Records the first attempt of a call. `repeat_share` is the probability, in [0, 1], that the call is made on
    /// behalf of a request that is itself a retry.
    virtual void on_request(double repeat_share) = 0;
    virtual void on_success() = 0;
    /// Takes one retry from the budget. Returns false if the budget is exhausted for this importance.
    virtual bool take(importance level) = 0;
};

} // namespace mulberry
