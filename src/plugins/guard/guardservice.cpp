#include "plugins/guard/guardservice.h"

#include "libs/base/asyncerror.h"
#include "libs/base/invariant.h"
#include "libs/base/log.h"
#include "plugins/calls/headerpolicy.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "guard";

finish_result finish_result_of(http_error error)
{
    return error == http_error::timed_out ? finish_result::timed_out : finish_result::failed;
}

refusal refusal_of(http_error error)
{
    switch (error) {
    case http_error::not_sent:
        return not_run_refusal(refusal_reason::upstream_unreachable);
    case http_error::timed_out:
        return {refusal_reason::deadline_expired, outcome::unknown, duration{0}};
    case http_error::truncated:
    case http_error::too_large:
        return {refusal_reason::upstream_failed, outcome::unknown, duration{0}};
    case http_error::connection_lost:
        break;
    }
    return {refusal_reason::connection_lost, outcome::unknown, duration{0}};
}

constexpr int status_misdirected = 421;
/// Retry-After of requests that wait for another suspect to complete.
constexpr duration isolation_retry_after = std::chrono::milliseconds(500);

bool is_server_error(int status)
{
    constexpr int first_server_error = 500;
    return status >= first_server_error;
}

} // namespace

guard_service::guard_service(guard_settings settings, timer_service& timers, random_source& secure_random,
                             http_client& upstream, request_observer& observer)
    : m_settings(std::move(settings)), m_timers(timers), m_random(secure_random), m_upstream(upstream),
      m_observer(observer), m_filter(timers), m_idempotency(m_settings.idempotency, m_settings.self, timers),
      m_admission(m_settings.admission, timers, *this)
{
}

std::optional<refusal> guard_service::check(std::string_view sender_name, const call_request& request)
{
    if (request.attempt.sender.name != sender_name)
        return not_run_refusal(refusal_reason::malformed_request);
    if (!request.receiver.empty() && request.receiver != m_settings.self.name)
        return not_run_refusal(refusal_reason::upstream_unreachable);
    if (request.service != m_settings.service) {
        return not_run_refusal(m_settings.dynamic_upstream ? refusal_reason::no_upstream
                                                           : refusal_reason::malformed_request);
    }
    if (m_settings.dynamic_upstream && !m_upstream_state.present)
        return not_run_refusal(refusal_reason::no_upstream);
    // The first copy of the attempt may have run, so the outcome of the duplicate is reported as unknown.
    if (!m_filter.accept(request.attempt))
        return refusal{refusal_reason::duplicate_attempt, outcome::unknown, duration{0}};
    if (request.remaining <= duration{0})
        return not_run_refusal(refusal_reason::deadline_expired);
    if (is_leaving_grace_over() || (m_stops_at && m_timers.now() + request.remaining > *m_stops_at))
        return not_run_refusal(refusal_reason::leaving);
    return check_quarantine(request);
}

std::optional<refusal> guard_service::check_quarantine(const call_request& request) const
{
    return m_settings.quarantine == nullptr ? std::nullopt : m_settings.quarantine->check(request.fingerprint);
}

bool guard_service::needs_isolation(const call_request& request) const
{
    return m_settings.quarantine != nullptr && m_settings.quarantine->needs_isolation(request.fingerprint);
}

bool guard_service::is_leaving_grace_over() const
{
    const time_point now = m_timers.now();
    const bool node_left = m_leaving_since && now - *m_leaving_since > m_settings.leaving_grace_period;
    const auto& since = m_upstream_state.leaving_since;
    return node_left || (since && now - *since > m_settings.upstream_leaving_grace_period);
}

void guard_service::set_upstream(upstream_status status)
{
    const bool same_run = status.instance == m_upstream_state.instance &&
                          status.instance_started_ms == m_upstream_state.instance_started_ms;
    if (!same_run) {
        check_crash();
        m_rate.reset();
        m_admission.set_rate_limit(std::nullopt);
    }
    m_upstream_state = std::move(status);
    if (!m_upstream_state.service.empty())
        m_settings.service = m_upstream_state.service;
    if (m_upstream_state.slots > 0)
        m_admission.set_slots(static_cast<std::uint32_t>(m_upstream_state.slots * m_settings.usable_slot_share));
}

void guard_service::handle(std::string_view sender_name, call_request request, response_callback callback)
{
    const attempt_id id = request.attempt;
    const auto refused = check(sender_name, request);
    const time_point now = m_timers.now();
    const time_point deadline = now + request.remaining;
    if (refused) {
        call rejected{std::move(request), std::move(callback), now, now, {}, nullptr, {}, 0, false, false};
        return refuse(rejected, *refused);
    }
    apply_sender_notice(request.notice);
    const importance level = request.level;
    std::string organisation = request.organisation;
    call& entry = m_calls[id];
    entry.request = std::move(request);
    entry.callback = std::move(callback);
    entry.received_at = now;
    if (!apply_idempotency_key(entry)) {
        m_calls.erase(id);
        return;
    }
    m_admission.offer({id, level, std::move(organisation), deadline});
}

bool guard_service::apply_idempotency_key(call& entry)
{
    const call_request& request = entry.request;
    if (request.idempotent || request.idempotency_key.empty())
        return true;
    const auto key = parse_idempotency_key(request.idempotency_key);
    if (!key) {
        refuse(entry, not_run_refusal(refusal_reason::idempotency_key_invalid));
        return false;
    }
    const idempotency_decision decision =
        m_idempotency.begin(*key, {request.organisation, request.method, request.path, request.body});
    if (const auto* refused = std::get_if<refusal>(&decision)) {
        refuse(entry, *refused);
        return false;
    }
    if (const auto* replayed = std::get_if<response_replay>(&decision)) {
        call_response response;
        response.result = outcome::ran;
        response.status = replayed->response.status;
        response.headers = replayed->response.headers;
        response.body = replayed->response.body;
        response.replayed = true;
        response.unused_retries = request.retries;
        finish(entry, std::move(response));
        return false;
    }
    entry.record = std::get<run_permission>(decision).record;
    return true;
}

void guard_service::on_admitted(const attempt_id& id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.is_running) {
        invariant_monitor::instance().check(false, invariant::not_run_is_true,
                                            "an attempt that had already started or ended was admitted");
        m_admission.finished(id, duration{0}, finish_result::cancelled);
        return;
    }
    const bool in_time =
        !m_leaving_since || it->second.received_at - *m_leaving_since <= m_settings.leaving_grace_period;
    invariant_monitor::instance().check(in_time, invariant::leaving_gets_no_work,
                                        "a call that was received after the leaving grace period was admitted");
    if (const auto refused = check_before_forwarding(it->second)) {
        auto node = m_calls.extract(it);
        m_admission.finished(id, duration{0}, finish_result::cancelled);
        if (node.mapped().record)
            m_idempotency.abandon(*node.mapped().record);
        return refuse(node.mapped(), *refused);
    }
    forward_to_upstream(it->second);
}

std::optional<refusal> guard_service::check_before_forwarding(const call& entry)
{
    // The upstream's grace period may have ended while the call was queued.
    if (is_leaving_grace_over() || (m_settings.dynamic_upstream && !m_upstream_state.present))
        return not_run_refusal(refusal_reason::leaving);
    if (const auto refused = check_quarantine(entry.request))
        return refused;
    if (!needs_isolation(entry.request))
        return std::nullopt;
    // Suspects run one at a time, so that a further crash has a single suspect.
    const bool other_runs = std::ranges::any_of(
        m_calls, [this](const auto& each) { return each.second.is_running && needs_isolation(each.second.request); });
    return other_runs ? std::optional(not_run_refusal(refusal_reason::request_isolated, isolation_retry_after))
                      : std::nullopt;
}

void guard_service::on_refused(const attempt_id& id, const refusal& details)
{
    auto node = m_calls.extract(id);
    if (node.empty())
        return;
    call& entry = node.mapped();
    invariant_monitor::instance().check(!entry.is_running, invariant::not_run_is_true,
                                        "a running attempt was refused as not run");
    if (entry.record)
        m_idempotency.abandon(*entry.record);
    refuse(entry, details);
}

void guard_service::forward_to_upstream(call& entry)
{
    const call_request& request = entry.request;
    entry.is_running = true;
    entry.admitted_at = m_timers.now();
    entry.token = fmt::format("{:016x}{:016x}", m_random.next(), m_random.next());
    entry.context = std::make_shared<call_context>();
    entry.context->request_id = request.request_id;
    entry.context->organisation = request.organisation;
    entry.context->service = request.service;
    entry.context->level = request.level;
    entry.context->deadline = entry.received_at + request.remaining;
    entry.context->depth = request.depth;
    entry.context->allowance = attempt_allowance(request.retries);
    m_contexts[entry.token] = entry.context;
    http_request out = make_upstream_request(entry);
    // They are sent once and not needed afterwards, while the call may take long.
    entry.request.headers = {};
    entry.request.body = {};
    entry.exchange = m_upstream.send(std::move(out), [this, id = request.attempt](leaf::result<http_response> result) {
        on_upstream_response(id, std::move(result));
    });
}

http_request guard_service::make_upstream_request(const call& entry) const
{
    const call_request& request = entry.request;
    const field_names& names = m_settings.fields;
    const duration remaining_time = entry.context->deadline - m_timers.now();
    http_request out;
    out.method = request.method;
    out.url = m_settings.upstream_url + request.path;
    out.headers = forwardable_headers(request.headers, names);
    const auto add = [&out](const std::string& name, std::string_view value) {
        if (!name.empty() && !value.empty())
            out.headers.emplace_back(name, value);
    };
    if (names.forwards_host)
        add(std::string(host_header), find_header(request.headers, host_header));
    add(names.context, entry.token);
    if (find_header(out.headers, names.request_id).empty())
        add(names.request_id, request.request_id);
    add(names.deadline, fmt::to_string(to_milliseconds(remaining_time)));
    add(names.organisation, request.organisation);
    add(names.calling_service, request.calling_service);
    add(names.importance, to_string(request.level));
    add(names.expected_instance, m_upstream_state.instance);
    out.body = request.body;
    out.timeout = remaining_time;
    out.repeatable = request.idempotent;
    if (names.caller_sets_request_id)
        out.echoed_field = names.request_id;
    return out;
}

void guard_service::on_upstream_response(const attempt_id& id, leaf::result<http_response> result)
{
    auto node = m_calls.extract(id);
    if (node.empty())
        return;
    call& entry = node.mapped();
    end_context(entry);
    if (result)
        record_notice(entry, *result);
    if (result && reports_not_executed(*result)) {
        respond_not_executed(entry, *result);
    }
    else if (result) {
        respond_executed(entry, std::move(*result));
    }
    else {
        respond_failed(entry, error_of(std::move(result), http_error::connection_lost));
    }
}

void guard_service::record_notice(const call& entry, const http_response& response)
{
    const auto notice = read_upstream_notice(response.headers, m_settings.fields);
    if (!notice)
        return log_warning(log_part, "Ignoring a malformed rate limit of the upstream.");
    const bool other_upstream = response.status == status_misdirected;
    // An upstream that rejects a request need not state anything in that response.
    if (other_upstream || (*notice == upstream_notice{} && reports_not_executed(response)))
        return;
    if (notice->leaving)
        report_leaving(leaving_source::upstream);
    if (m_rate.on_response(entry.admitted_at, m_timers.now(), notice->rate_limit))
        apply_rate_limit();
}

void guard_service::apply_sender_notice(const upstream_notice& notice)
{
    if (m_rate.on_sender_limit(m_timers.now(), notice.rate_limit))
        apply_rate_limit();
    const bool same_run = notice.instance == m_upstream_state.instance &&
                          notice.instance_started_ms == m_upstream_state.instance_started_ms;
    if (notice.leaving && same_run)
        report_leaving(leaving_source::sender);
}

void guard_service::report_leaving(leaving_source source)
{
    if (!m_upstream_state.leaving_since && m_settings.on_upstream_leaving)
        m_settings.on_upstream_leaving(source);
}

/// What senders should know about the upstream when this node restarts.
upstream_notice guard_service::own_notice() const
{
    upstream_notice notice;
    notice.rate_limit = m_rate.current();
    if (!m_upstream_state.leaving_since)
        return notice;
    notice.leaving = true;
    notice.instance = m_upstream_state.instance;
    notice.instance_started_ms = m_upstream_state.instance_started_ms;
    return notice;
}

void guard_service::apply_rate_limit()
{
    const auto limit = m_rate.current();
    m_admission.set_rate_limit(limit);
    if (!limit)
        return log_info(log_part, "Upstream {} no longer limits its rate of requests.", m_upstream_state.instance);
    log_info(log_part, "Upstream {} accepts {:.1f} requests per second.", m_upstream_state.instance, *limit);
}

bool guard_service::reports_not_executed(const http_response& response) const
{
    const field_names& names = m_settings.fields;
    if (!names.not_executed.empty() && !find_header(response.headers, names.not_executed).empty())
        return true;
    return !names.expected_instance.empty() && response.status == status_misdirected;
}

void guard_service::respond_not_executed(call& entry, const http_response& response)
{
    const bool replaced = response.status == status_misdirected;
    // A different upstream uses this address now. It gets no calls until it has announced itself.
    if (replaced)
        m_upstream_state.present = false;
    m_admission.finished(entry.request.attempt, m_timers.now() - entry.admitted_at, finish_result::cancelled);
    call_response out;
    out.result = outcome::not_run;
    out.reason = replaced ? refusal_reason::upstream_unreachable : refusal_reason::upstream_shed;
    complete_record(entry, out);
    finish(entry, std::move(out));
}

void guard_service::respond_executed(call& entry, http_response response)
{
    const duration service_time = m_timers.now() - entry.admitted_at;
    m_crashes.on_response(entry.admitted_at);
    const bool failed = is_server_error(response.status);
    m_admission.finished(entry.request.attempt, service_time,
                         failed ? finish_result::failed : finish_result::succeeded);
    if (!failed && m_settings.quarantine != nullptr)
        m_settings.quarantine->on_completed(entry.request.fingerprint);
    call_response out;
    out.result = outcome::ran;
    out.status = response.status;
    out.headers = forwardable_headers(response.headers);
    out.body = std::move(response.body);
    out.service_time = service_time;
    complete_record(entry, out);
    finish(entry, std::move(out));
}

void guard_service::respond_failed(call& entry, http_error error)
{
    const duration service_time = m_timers.now() - entry.admitted_at;
    m_admission.finished(entry.request.attempt, service_time, finish_result_of(error));
    if (error == http_error::connection_lost || error == http_error::truncated)
        m_crashes.on_connection_lost(m_timers.now(), entry.request.fingerprint);
    if (error == http_error::not_sent)
        check_crash();
    const refusal details = refusal_of(error);
    call_response out;
    out.result = details.result;
    out.reason = details.reason;
    out.service_time = service_time;
    complete_record(entry, out);
    finish(entry, std::move(out));
}

void guard_service::check_crash()
{
    // The connections of an upstream that leaves as planned may end with it.
    if (m_upstream_state.leaving_since)
        return m_crashes.reset();
    const auto lost_calls = m_crashes.on_upstream_ended(oldest_running_call());
    if (lost_calls.empty())
        return;
    ++m_upstream_crashes;
    log_warning(log_part, "Upstream {} has crashed while it was running {} requests.", m_upstream_state.instance,
                lost_calls.size());
    for (const request_fingerprint fingerprint : lost_calls) {
        log_info(log_part, "Request {:016x} was running when upstream {} crashed.", fingerprint,
                 m_upstream_state.instance);
    }
    if (m_settings.quarantine != nullptr)
        m_settings.quarantine->on_upstream_crashed(lost_calls);
}

std::optional<time_point> guard_service::oldest_running_call() const
{
    std::optional<time_point> oldest;
    for (const auto& [id, entry] : m_calls) {
        if (entry.is_running && (!oldest || entry.admitted_at < *oldest))
            oldest = entry.admitted_at;
    }
    return oldest;
}

void guard_service::complete_record(call& entry, const call_response& response)
{
    if (!entry.record)
        return;
    if (response.result == outcome::ran)
        return m_idempotency.complete(*entry.record, {response.status, response.headers, std::string(response.body)});
    if (response.result == outcome::not_run)
        return m_idempotency.abandon(*entry.record);
    m_idempotency.complete_without_response(*entry.record);
}

void guard_service::refuse(call& entry, const refusal& details)
{
    call_response response;
    response.result = details.result;
    response.reason = details.reason;
    response.retry_after = details.retry_after;
    response.unused_retries = entry.request.retries;
    finish(entry, std::move(response));
}

void guard_service::finish(call& entry, call_response response)
{
    response.receiver = m_settings.self.name;
    response.sequence = entry.request.attempt.sequence;
    response.load = m_admission.report(entry.request.organisation);
    response.notice = own_notice();
    if (entry.is_running)
        response.queue_wait = entry.admitted_at - entry.received_at;
    if (entry.context) {
        response.unused_retries = entry.context->allowance.remaining();
        response.retries_exhausted = entry.context->retries_exhausted;
        response.failed_below = entry.context->failed_below;
        if (entry.context->nested_call_load)
            response.load = merge_load_reports(response.load, *entry.context->nested_call_load);
    }
    if (entry.is_running && m_settings.downstream_report)
        response.downstream = m_settings.downstream_report();
    record_decision(entry, response);
    if (!entry.cancelled_by_sender)
        entry.callback(std::move(response));
}

void guard_service::end_context(call& entry)
{
    entry.context->running = false;
    m_contexts.erase(entry.token);
    const auto nested = std::exchange(entry.context->nested_call_cancels, {});
    for (const auto& [id, cancel_nested] : nested)
        cancel_nested();
}

void guard_service::record_decision(const call& entry, const call_response& response)
{
    const call_request& request = entry.request;
    decision_record record;
    record.request_id = request.request_id;
    record.fingerprint = request.fingerprint;
    record.hop = request.depth - 1;
    record.role = hop_role::guard;
    record.node = m_settings.self.name;
    record.peer = request.attempt.sender.name;
    record.organisation = request.organisation;
    record.service = request.service;
    record.route = request.route;
    record.level = request.level;
    record.idempotent = request.idempotent;
    record.reason = response.reason;
    record.attempts = 1;
    record.configuration_revision = request.revision;
    record.status = static_cast<std::uint32_t>(response.status);
    record.result = response.result;
    record.waited = response.queue_wait;
    record.took = m_timers.now() - entry.received_at;
    m_observer.on_finished(record);
}

void guard_service::cancel(const attempt_id& id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        m_filter.accept(id); // a call that is delivered after its cancel must not start
        return;
    }
    call& entry = it->second;
    if (!entry.is_running) {
        if (!m_admission.cancel(id))
            return;
        if (entry.record)
            m_idempotency.abandon(*entry.record);
        m_calls.erase(it);
        return;
    }
    entry.cancelled_by_sender = true;
    if (!entry.request.idempotent)
        return;
    m_upstream.cancel(entry.exchange);
    auto node = m_calls.extract(it);
    end_context(node.mapped());
    m_admission.finished(id, m_timers.now() - node.mapped().admitted_at, finish_result::cancelled);
    call_response response;
    response.reason = refusal_reason::caller_gone;
    finish(node.mapped(), std::move(response));
}

double guard_service::repeat_share() const
{
    double sum = 0;
    double running = 0;
    for (const auto& [id, entry] : m_calls) {
        if (!entry.is_running)
            continue;
        sum += static_cast<double>(entry.request.repeat_share);
        running += 1;
    }
    return running > 0 ? sum / running : 0;
}

std::shared_ptr<call_context> guard_service::find_context(std::string_view token) const
{
    const auto it = m_contexts.find(std::string(token));
    return it == m_contexts.end() ? nullptr : it->second;
}

std::size_t guard_service::refuse_all(refusal_reason reason)
{
    auto calls = std::exchange(m_calls, {});
    for (auto& [id, entry] : calls) {
        if (entry.is_running) {
            m_upstream.cancel(entry.exchange);
            end_context(entry);
            if (entry.record)
                m_idempotency.complete_without_response(*entry.record);
            refuse(entry, {reason, outcome::unknown, duration{0}});
            continue;
        }
        m_admission.cancel(id);
        if (entry.record)
            m_idempotency.abandon(*entry.record);
        refuse(entry, not_run_refusal(reason));
    }
    return calls.size();
}

void guard_service::begin_leaving()
{
    if (!m_leaving_since)
        m_leaving_since = m_timers.now();
}

} // namespace mulberry
