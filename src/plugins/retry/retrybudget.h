#pragma once

#include "libs/base/importance.h"

namespace mulberry {

/// Bounds the retries of this node to one service, so that failures do not multiply the load on it.
class retry_budget {
public:
    retry_budget() = default;
    retry_budget(const retry_budget&) = delete;
    retry_budget& operator=(const retry_budget&) = delete;
    virtual ~retry_budget() = default;

    /// A call is sent for the first time. The repeat share is the probability that it is made on behalf of a request
    /// that was itself repeated, in [0, 1].
    virtual void on_request(double repeat_share) = 0;
    virtual void on_success() = 0;
    /// Takes a retry; false if the budget is spent for the importance.
    virtual bool take(importance level) = 0;
};

} // namespace mulberry
