#pragma once

#include "app/metrics/daemonmetrics.h"
#include "plugins/calls/requestobserver.h"

#include <functional>

namespace mulberry {

/// Counts every decision about a request and writes a line with its inputs to the structured log.
class decision_lines final : public request_observer {
public:
    /// `view_age` gives the age of the configuration under which requests are decided.
    decision_lines(daemon_metrics& metrics, std::function<duration()> view_age)
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
