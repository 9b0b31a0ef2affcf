#pragma once

#include "plugins/account/decisionrecord.h"
#include "plugins/retry/retrypolicy.h"

#include <optional>

namespace mulberry {

/// Is notified of every decision about a request, for the metrics, the log and the account.
class request_observer {
public:
    request_observer() = default;
    request_observer(const request_observer&) = delete;
    request_observer& operator=(const request_observer&) = delete;
    virtual ~request_observer() = default;

    /// A request has completed or was refused at this node. The observer sets the time of day in the record.
    virtual void on_finished(const decision_record& record) = 0;

    /// An attempt failed. `refused` is the reason why it is not retried; empty if it is retried.
    virtual void on_retry_decision(refusal_reason failure, std::optional<retry_refusal> refused) = 0;
};

} // namespace mulberry
