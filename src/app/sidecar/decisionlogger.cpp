#include "app/sidecar/decisionlogger.h"

#include "libs/base/log.h"

#include <utility>

#include <fmt/format.h>

namespace mulberry {

void decision_logger::on_finished(const decision_record& record)
{
    m_metrics.count_request(record);
    if (current_log_level() > log_level::info)
        return;
    log_fields(log_level::info, record.role == hop_role::entry ? "entry" : "guard",
               fmt::format("id={} fingerprint={:016x} organisation={} service={} route={} importance={} idempotent={} "
                           "peer={} attempts={} "
                           "result={} reason={} status={} revision={} view_age_ms={} waited_us={} took_us={}",
                           record.request_id, record.fingerprint,
                           record.organisation.empty() ? "-" : record.organisation, record.service, record.route,
                           to_string(record.level), record.idempotent, record.peer.empty() ? "-" : record.peer,
                           record.attempts, to_string(record.result), record.reason ? to_string(*record.reason) : "-",
                           record.status, record.configuration_revision, to_milliseconds(m_view_age()),
                           record.waited.count(), record.took.count()));
}

void decision_logger::on_retry_decision(refusal_reason failure, std::optional<retry_refusal> refused)
{
    m_metrics.count_retry(failure, refused);
}

} // namespace mulberry
