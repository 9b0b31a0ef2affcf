#pragma once

#include "app/metrics/daemonmetrics.h"
#include "plugins/calls/requestobserver.h"

#include <functional>

namespace mulberry {

/// Updates the metrics for every decision about a request, and writes a structured log line with the decision's inputs
/// for each completed request.
class decision_logger final : public request_observer {
public:
    /// `view_age` returns the age of the configuration that decisions are based on. The metrics outlive the logger.
    decision_logger(daemon_metrics& metrics, std::function<duration()> view_age)
        : m_metrics(metrics), m_view_age(std::move(view_age))
    {
    }

    void on_finished(const decision_record& record) override;
    void on_retry_decision(refusal_reason failure, std::optional<retry_refusal> refused) override;

private:
    daemon_metrics& m_metrics;
    std::function<duration()> m_view_age;
};

} // namespace mulberry
