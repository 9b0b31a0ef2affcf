#pragma once

#include "plugins/account/decisionrecord.h"
#include "plugins/retry/retrypolicy.h"

#include <optional>

namespace mulberry {

/// Hears of every decision about a request, for the metrics, the log and the account.
class request_observer {
public:
    request_observer() = default;
    request_observer(const request_observer&) = delete;
    request_observer& operator=(const request_observer&) = delete;
    virtual ~request_observer() = default;

    /// A request has been answered or refused at this node. The time of day in the record is left to the observer.
    virtual void on_finished(const decision_record& record) = 0;

    /// An attempt failed. `refused` says why it is not repeated; empty if it is.
    virtual void on_retry_decision(refusal_reason failure, std::optional<retry_refusal> refused) = 0;
};

} // namespace mulberry
