#include "app/metrics/daemonmetrics.h"

#include "libs/base/log.h"

#include <prometheus/text_serializer.h>

namespace mulberry {

namespace {

const prometheus::Histogram::BucketBoundaries seconds_buckets{0.0001, 0.00034, 0.001, 0.003, 0.01, 0.03,
                                                              0.1,    0.3,     1,     3,     10};

template <typename Metric>
prometheus::Histogram& add_histogram(Metric& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, seconds_buckets);
}

prometheus::Family<prometheus::Counter>& add_counter_family(prometheus::Registry& registry, const std::string& name,
                                                            const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

daemon_metrics::daemon_metrics()
    : m_refusals(add_counter_family(m_registry, "mulberry_refusals_total",
                                    "Requests refused or failed, by reason and by the side that decided.")),
      m_retries(add_counter_family(m_registry, "mulberry_retries_total",
                                   "Failed attempts, by whether and why they were not repeated.")),
      m_served(
          add_counter_family(m_registry, "mulberry_served_total", "Requests answered by an upstream, by importance.")),
      m_violations(add_counter_family(m_registry, "mulberry_invariant_violations_total",
                                      "Violations of the properties that the program asserts.")),
      m_queue_wait(add_histogram(m_registry, "mulberry_queue_wait_seconds",
                                 "Time that requests waited for a slot at this node's upstream.")),
      m_request_time(add_histogram(m_registry, "mulberry_request_seconds",
                                   "Time from the arrival of a request at this entry to its answer."))
{
    for (std::size_t i = 0; i < m_entry_refusals.size(); ++i) {
        const auto reason = std::string(to_string(static_cast<refusal_reason>(i)));
        m_entry_refusals[i] = &m_refusals.Add({{"reason", reason}, {"role", "entry"}});
        m_guard_refusals[i] = &m_refusals.Add({{"reason", reason}, {"role", "guard"}});
        m_retry_counters[i] = &m_retries.Add({{"decision", "repeated"}, {"reason", reason}});
    }
    for (std::size_t i = 0; i < m_retry_refusal_counters.size(); ++i) {
        const auto reason = std::string(to_string(static_cast<retry_refusal>(i)));
        m_retry_refusal_counters[i] = &m_retries.Add({{"decision", "refused"}, {"reason", reason}});
    }
    for (const importance level : all_importances) {
        m_served_counters[static_cast<std::size_t>(level)] =
            &m_served.Add({{"importance", std::string(to_string(level))}});
    }
    for (std::size_t i = 0; i < m_violation_counters.size(); ++i) {
        const auto name = std::string(to_string(static_cast<invariant>(i)));
        m_violation_counters[i] = &m_violations.Add({{"invariant", name}});
    }
}

void daemon_metrics::count_request(const decision_record& record)
{
    const bool at_entry = record.role == hop_role::entry;
    if (record.reason)
        (at_entry ? m_entry_refusals : m_guard_refusals)[static_cast<std::size_t>(*record.reason)]->Increment();
    if (!at_entry)
        return m_queue_wait.Observe(to_seconds(record.waited));
    m_request_time.Observe(to_seconds(record.took));
    if (!record.reason)
        m_served_counters[static_cast<std::size_t>(record.level)]->Increment();
}

void daemon_metrics::count_retry(refusal_reason failure, std::optional<retry_refusal> refused)
{
    if (refused)
        return m_retry_refusal_counters[static_cast<std::size_t>(*refused)]->Increment();
    m_retry_counters[static_cast<std::size_t>(failure)]->Increment();
}

void daemon_metrics::set_gauge(const std::string& name, const std::string& help, double value, const std::string& label,
                               const std::string& label_value)
{
    prometheus::Labels labels;
    if (!label.empty())
        labels.emplace(label, label_value);
    prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add(labels).Set(value);
}

void daemon_metrics::update_invariant_counters()
{
    for (std::size_t i = 0; i < m_violation_counters.size(); ++i) {
        const auto count = static_cast<double>(invariant_monitor::instance().violations(static_cast<invariant>(i)));
        prometheus::Counter& counter = *m_violation_counters[i];
        counter.Increment(count - counter.Value());
    }
}

void daemon_metrics::set_message_memory(const memory_budget& memory)
{
    set_gauge("mulberry_message_memory_bytes", "Memory in use for messages.", static_cast<double>(memory.in_use()));
    set_gauge("mulberry_message_memory_refused", "Times that no memory was left for a message.",
              static_cast<double>(memory.refused()));
    set_gauge("mulberry_message_memory_reclaimed",
              "Connections of slow callers that were closed because memory was short.",
              static_cast<double>(memory.reclaimed()));
}

std::string daemon_metrics::text()
{
    update_invariant_counters();
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

void decision_recorder::on_finished(const decision_record& record)
{
    m_metrics.count_request(record);
    if (!record.reason)
        return;
    log_info(record.role == hop_role::entry ? "entry" : "guard",
             "Refused request {} of {} to service {}: {}, outcome {}.", record.request_id,
             record.organisation.empty() ? "no organisation" : record.organisation, record.service,
             to_string(*record.reason), to_string(record.result));
}

void decision_recorder::on_retry_decision(refusal_reason failure, std::optional<retry_refusal> refused)
{
    m_metrics.count_retry(failure, refused);
}

} // namespace mulberry
