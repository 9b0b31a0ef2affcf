#pragma once

#include "libs/base/invariant.h"
#include "libs/memory/memorybudget.h"
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

/// Metrics of a daemon in the Prometheus text format. All counters are registered at the start with value 0, so that a
/// rate can be computed from the first increment on.
class daemon_metrics {
public:
    daemon_metrics();

    /// Counts a completed request by its result, and records its duration.
    void count_request(const decision_record& record);
    /// Counts a failed attempt: as retried, or under the reason why the retry was refused.
    void count_retry(refusal_reason failure, std::optional<retry_refusal> refused);

    /// Sets a gauge, without a label if `label` is empty. Called for each scrape.
    void set_gauge(const std::string& name, const std::string& help, double value, const std::string& label = {},
                   const std::string& label_value = {});

    /// Sets the gauges of the memory for messages. Called for each scrape.
    void set_message_memory(const memory_budget& memory);

    /// Returns all metrics in the text format.
    std::string text();

private:
    void update_invariant_counters();

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
    reason_counters m_retry_counters{};
    std::array<prometheus::Counter*, static_cast<std::size_t>(retry_refusal::count)> m_retry_refusal_counters{};
    std::array<prometheus::Counter*, all_importances.size()> m_served_counters{};
    std::array<prometheus::Counter*, static_cast<std::size_t>(invariant::count)> m_violation_counters{};
};

/// Updates the metrics for every decision and writes a log line for each refused request.
class decision_recorder final : public request_observer {
public:
    explicit decision_recorder(daemon_metrics& metrics) : m_metrics(metrics) {}

    void on_finished(const decision_record& record) override;
    void on_retry_decision(refusal_reason failure, std::optional<retry_refusal> refused) override;

private:
    daemon_metrics& m_metrics;
};

} // namespace mulberry
