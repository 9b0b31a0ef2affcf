#pragma once

#include "libs/base/invariant.h"
#include "plugins/calls/requestobserver.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace mulberry {

/// Metrics of a daemon in the Prometheus text format. Counters exist from the start, so that a rate can be computed
/// from the first increment on.
class daemon_metrics {
public:
    daemon_metrics();

    void count_request(const decision_record& record);
    void count_retry(refusal_reason failure, std::optional<retry_refusal> refused);

    /// Sets a gauge; the label is left out when empty. Used when the page is read.
    void set_gauge(const std::string& name, const std::string& help, double value, const std::string& label = {},
                   const std::string& label_value = {});

    /// The page for a scrape.
    std::string text();

private:
    void copy_invariants();

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_retries;
    prometheus::Family<prometheus::Counter>& m_served;
    prometheus::Family<prometheus::Counter>& m_violations;
    prometheus::Histogram& m_queue_wait;
    prometheus::Histogram& m_request_time;
    using reason_counters = std::array<prometheus::Counter*, static_cast<std::size_t>(refusal_reason::count)>;
    reason_counters m_entry_refusals{};
    reason_counters m_guard_refusals{};
    reason_counters m_repeated{};
    std::array<prometheus::Counter*, static_cast<std::size_t>(retry_refusal::count)> m_retry_refusals{};
    std::array<prometheus::Counter*, all_importances.size()> m_served_counters{};
    std::array<prometheus::Counter*, static_cast<std::size_t>(invariant::count)> m_violation_counters{};
};

/// Sends every decision to the metrics and, for refusals, to the log.
class decision_recorder final : public request_observer {
public:
    explicit decision_recorder(daemon_metrics& metrics) : m_metrics(metrics) {}

    void on_finished(const decision_record& record) override;
    void on_retry_decision(refusal_reason failure, std::optional<retry_refusal> refused) override;

private:
    daemon_metrics& m_metrics;
};

} // namespace mulberry
