#include "plugins/entry/entryservice.h"

#include "libs/base/asyncerror.h"
#include "libs/base/invariant.h"
#include "libs/base/jitter.h"
#include "plugins/calls/headerpolicy.h"
#include "plugins/idempotency/idempotencykey.h"
#include "plugins/retry/earnedretrybudget.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

constexpr std::string_view key_issue_prefix = "/mulberry/v1/idempotency-keys/";
// Retry-After of requests that a stopping node refuses, before jitter. Other nodes can serve them at once.
constexpr duration stopping_retry_after = std::chrono::milliseconds(100);
constexpr int status_created = 201;
constexpr int status_service_unavailable = 503;
// Estimated size of the other fields of a call, counted against the byte budget of the link between regions.
constexpr std::uint64_t call_overhead_bytes = 200;
// Status that the account records for a request whose caller disconnected before the response.
constexpr std::uint32_t status_caller_gone = 499;

std::uint64_t size_of(const header_list& headers, const message_body& body)
{
    std::uint64_t bytes = call_overhead_bytes + body.size();
    for (const auto& [name, value] : headers)
        bytes += name.size() + value.size();
    return bytes;
}

/// Whether an upstream may have received the attempt.
bool may_have_been_received(const refusal& failure)
{
    return failure.result != outcome::not_run || failure.reason == refusal_reason::upstream_shed;
}

} // namespace

entry_service::entry_service(entry_settings settings, entry_dependencies dependencies)
    : m_settings(std::move(settings)), m_dependencies(dependencies), m_checks(m_settings, m_dependencies),
      m_load(m_dependencies), m_refusals(m_settings, dependencies.random),
      m_retry(m_settings.retry, dependencies.timers, dependencies.random), m_notices(dependencies.timers)
{
}

entry_service::~entry_service()
{
    for (const auto& [handle, request] : m_requests)
        release(*request);
}

entry_handle entry_service::handle(caller_request request, response_callback done)
{
    auto state = std::make_shared<detail::entry_request>();
    state->input = std::move(request);
    state->done = std::move(done);
    return start(state);
}

entry_handle entry_service::handle_nested(std::shared_ptr<call_context> parent, caller_request request,
                                          response_callback done)
{
    auto state = std::make_shared<detail::entry_request>();
    state->input = std::move(request);
    state->done = std::move(done);
    state->parent = std::move(parent);
    if (state->parent == nullptr || !state->parent->running) {
        state->handle = ++m_last_handle;
        state->received_at = m_dependencies.timers.now();
        refuse(*state, not_run_refusal(refusal_reason::context_unknown));
        return 0;
    }
    return start(state);
}

entry_handle entry_service::start(const request_ptr& request)
{
    request->handle = ++m_last_handle;
    request->received_at = m_dependencies.timers.now();
    request->request_id = request_id_of(*request);
    m_requests[request->handle] = request;
    if (request->parent == nullptr && request->input.path.starts_with(key_issue_prefix)) {
        issue_idempotency_key(*request);
        return 0;
    }
    auto refused = m_checks.match(*request);
    if (!refused)
        refused = m_checks.authenticate(*request);
    if (!refused) {
        request->fingerprint = fingerprint_of_request(*request);
        refused = check_quarantine(*request);
    }
    if (!refused && request->parent != nullptr)
        request->parent->nested_call_cancels[request->handle] = [this, handle = request->handle] { cancel(handle); };
    if (!refused)
        refused = m_checks.check_idempotency_key(*request);
    if (!refused)
        refused = check_planned_stop(*request);
    if (!refused)
        refused = m_load.check(*request);
    if (refused) {
        refuse(*request, *refused);
        return 0;
    }
    request->deadline_timer = m_dependencies.timers.schedule(request->deadline - request->received_at,
                                                             [this, request] { on_deadline(request); });
    take_token(request);
    return request->finished ? 0 : request->handle;
}

std::optional<refusal> entry_service::check_planned_stop(const request_state& request)
{
    if (!m_stops_at || request.deadline <= *m_stops_at)
        return std::nullopt;
    return not_run_refusal(refusal_reason::draining, with_jitter(stopping_retry_after, m_dependencies.random));
}

std::string entry_service::request_id_of(const request_state& request) const
{
    if (request.parent != nullptr)
        return request.parent->request_id;
    if (m_settings.fields.caller_sets_request_id)
        return std::string(find_header(request.input.headers, m_settings.fields.request_id));
    return fmt::format("{}-{}-{}", m_settings.self.name, m_settings.self.incarnation, request.handle);
}

request_fingerprint entry_service::fingerprint_of_request(const request_state& request) const
{
    request_content content;
    content.organisation = request.organisation;
    content.method = request.input.method;
    content.authority = m_settings.fields.forwards_host ? request.input.host : request.service;
    content.path = request.path;
    content.body = request.input.body;
    return fingerprint_of(content);
}

std::optional<refusal> entry_service::check_quarantine(const request_state& request) const
{
    if (m_dependencies.quarantine == nullptr)
        return std::nullopt;
    return m_dependencies.quarantine->check(request.fingerprint);
}

void entry_service::take_token(const request_ptr& request)
{
    if (request->parent != nullptr || request->rules.open)
        return first_attempt(request);
    m_dependencies.rates.admit(request->organisation, [this, request](const std::optional<refusal>& refused) {
        if (request->finished)
            return;
        if (refused)
            return refuse(*request, *refused);
        first_attempt(request);
    });
}

void entry_service::first_attempt(const request_ptr& request)
{
    if (const auto refused = m_load.check_bottlenecks(*request))
        return refuse(*request, *refused);
    attempt(request);
}

std::optional<std::string> entry_service::choose_upstream(const request_state& request)
{
    if (request.parsed_idempotency_key)
        return request.parsed_idempotency_key->owner_node.name;
    routing_context context;
    context.request_bytes = size_of(request.input.headers, request.input.body);
    if (request.refused_by_rate_limit) {
        std::vector<std::string> avoided = m_notices.limited_upstreams();
        avoided.insert(avoided.end(), request.failed_upstreams.begin(), request.failed_upstreams.end());
        context.excluded_upstreams = avoided;
        if (auto unlimited = m_dependencies.selector.choose(request.service, context))
            return unlimited;
    }
    context.excluded_upstreams = request.failed_upstreams;
    auto chosen = m_dependencies.selector.choose(request.service, context);
    if (chosen || request.delivered_attempts > 0)
        return chosen;
    // No upstream has received an attempt, so the guards refused only for lack of free capacity. Capacity may be free
    // again, so upstreams that refused before are tried again.
    context.excluded_upstreams = {};
    return m_dependencies.selector.choose(request.service, context);
}

void entry_service::attempt(const request_ptr& request)
{
    request->retry_timer = 0;
    if (const auto refused = m_checks.reauthorise(*request))
        return refuse(*request, *refused);
    if (const auto refused = check_quarantine(*request))
        return refuse(*request, *refused);
    const auto upstream = choose_upstream(*request);
    if (!upstream)
        return refuse(*request, not_run_refusal(refusal_reason::no_upstream, m_settings.default_retry_after));
    if (!invariant_monitor::instance().check(request->attempts < request->attempt_limit, invariant::attempts_bounded,
                                             "a request exceeded the attempt limit of its call tree"))
        return refuse(*request, not_run_refusal(refusal_reason::invariant_violated));
    if (request->attempts == 0)
        record_first_attempt(*request);
    ++request->attempts;
    request->upstream = *upstream;
    request->sequence = ++m_last_sequence;
    request->retry_reservation = request->allowance.reserve_attempts(request->allowance.default_reservation());
    request->sent_at = m_dependencies.timers.now();
    const call_request call = make_call(*request);
    m_dependencies.selector.on_sent(*upstream, size_of(call.headers, call.body));
    request->active_call =
        m_dependencies.transport.send(*upstream, call, [this, request](leaf::result<call_response> result) {
            on_response(request, std::move(result));
        });
}

void entry_service::record_first_attempt(request_state& request)
{
    if (request.is_upstream_call && m_settings.upstream_repeat_share)
        request.repeat_share = m_settings.upstream_repeat_share();
    budget_of(request.service).on_request(request.repeat_share);
}

call_request entry_service::make_call(request_state& request)
{
    call_request call;
    call.attempt = {m_settings.self, request.sequence};
    call.request_id = request.request_id;
    call.receiver = request.upstream;
    call.organisation = request.organisation;
    call.calling_service = m_settings.calling_service;
    if (const call_context* parent = request.parent.get())
        call.calling_service = parent->service;
    call.service = request.service;
    call.route = request.rules.name;
    call.level = request.level;
    call.remaining = request.deadline - m_dependencies.timers.now();
    call.retries = request.retry_reservation.attempts;
    call.repeat_share = request.delivered_attempts > 0 ? 1 : static_cast<float>(request.repeat_share);
    call.idempotent = request.rules.idempotent;
    if (request.parsed_idempotency_key)
        call.idempotency_key = to_string(*request.parsed_idempotency_key);
    call.revision = m_dependencies.documents.revision();
    call.depth = request.depth;
    call.method = request.input.method;
    call.path = request.path;
    call.headers = forwardable_headers(request.input.headers, m_settings.fields);
    if (m_settings.fields.forwards_host)
        call.headers.emplace_back(host_header, request.input.host);
    call.body = request.input.body;
    call.notice = m_notices.find(request.upstream);
    call.fingerprint = request.fingerprint;
    return call;
}

void entry_service::on_response(const request_ptr& request, leaf::result<call_response> result)
{
    if (request->finished)
        return;
    request->active_call = 0;
    if (!result)
        return on_attempt_lost(request, error_of(std::move(result), call_error::connection_lost));
    const bool same_attempt = result->sequence == request->sequence;
    // The address now belongs to another node, which refused the call because it is not the intended receiver.
    if (same_attempt && result->receiver != request->upstream && result->result == outcome::not_run)
        return on_attempt_lost(request, call_error::not_sent);
    const bool matches = same_attempt && result->receiver == request->upstream;
    if (!invariant_monitor::instance().check(matches, invariant::answer_matches_request,
                                             "received a response to a different attempt"))
        return on_attempt_lost(request, call_error::malformed);
    handle_response(request, std::move(*result));
}

void entry_service::on_attempt_lost(const request_ptr& request, call_error error)
{
    m_dependencies.selector.on_failed(request->upstream);
    if (error == call_error::not_sent) {
        request->allowance.return_unused(request->retry_reservation.id, request->retry_reservation.attempts);
        return on_failure(request, not_run_refusal(refusal_reason::upstream_unreachable), false, false);
    }
    on_failure(request, {refusal_reason::connection_lost, outcome::unknown, duration{0}}, false, false);
}

void entry_service::record_response(const request_state& request, const call_response& response)
{
    m_notices.record(request.upstream, response.notice);
    const duration latency = m_dependencies.timers.now() - request.sent_at;
    if (response.result != outcome::ran && response.failed_below) {
        m_dependencies.selector.on_abandoned(request.upstream);
    }
    else if (response.result == outcome::ran) {
        m_dependencies.selector.on_response(request.upstream, latency, response.load,
                                            size_of(response.headers, response.body));
    }
    else if (response.result == outcome::not_run) {
        m_dependencies.selector.on_refused(request.upstream);
    }
    else {
        m_dependencies.selector.on_failed(request.upstream);
    }
    m_load.record_response(request, response);
    if (request.parent == nullptr)
        return;
    std::optional<load_report>& downstream_report = request.parent->nested_call_load;
    downstream_report = downstream_report ? merge_load_reports(*downstream_report, response.load) : response.load;
}

void entry_service::handle_response(const request_ptr& request, call_response response)
{
    request->allowance.return_unused(request->retry_reservation.id, response.unused_retries);
    request->queue_wait += response.queue_wait;
    request->last_service_time = response.service_time;
    record_response(*request, response);
    if (response.reason)
        return on_failure(request, response.as_refusal(), response.failed_below, response.retries_exhausted);
    if (response.status != status_service_unavailable || response.replayed) {
        budget_of(request->service).on_success();
        return forward_response(request, response);
    }
    // The upstream shed the request itself; it is not known whether it did any work for it.
    const bool failed_downstream = response.failed_below;
    const bool retries_exhausted = response.retries_exhausted;
    request->last_response = std::move(response);
    on_failure(request, {refusal_reason::upstream_shed, outcome::unknown, duration{0}}, failed_downstream,
               retries_exhausted);
}

void entry_service::on_failure(const request_ptr& request, const refusal& failure, bool failed_downstream,
                               bool retries_exhausted)
{
    if (failure.result != outcome::not_run)
        request->may_have_run = true;
    request->refused_by_rate_limit |= failure.reason == refusal_reason::upstream_limited;
    request->refused_for_capacity |= detail::is_capacity_refusal(failure.reason);
    if (retry(request, failure, failed_downstream, retries_exhausted))
        return;
    if (request->parent != nullptr) {
        request->parent->failed_below = true;
        request->parent->retries_exhausted |= retries_exhausted;
    }
    if (request->last_response)
        return forward_response(request, *request->last_response);
    refuse(*request, failure);
}

bool entry_service::retry(const request_ptr& request, const refusal& failure, bool failed_downstream,
                          bool retries_exhausted)
{
    failed_attempt failed;
    failed.failure = failure;
    failed.level = request->level;
    // All attempts with the same idempotency key go to the owner of the key, which responds to a retry with the
    // stored response.
    failed.idempotent = request->rules.idempotent || request->parsed_idempotency_key.has_value();
    failed.next_hop_failed = !failed_downstream;
    failed.retries_exhausted = retries_exhausted;
    failed.attempts_made = request->attempts;
    failed.deadline = request->deadline;
    failed.expected_time = request->last_service_time;
    failed.may_have_been_received = may_have_been_received(failure);
    if (failed.may_have_been_received && ++request->delivered_attempts >= request->delivery_limit)
        return record_retry_refusal(request, failure, retry_refusal::attempts_spent);
    const auto decision = m_retry.on_failure(failed, request->allowance, budget_of(request->service));
    const auto* refused = std::get_if<retry_refusal>(&decision);
    if (refused != nullptr)
        return record_retry_refusal(request, failure, *refused);
    m_dependencies.observer.on_retry_decision(failure.reason, std::nullopt);
    request->failed_upstreams.push_back(request->upstream);
    request->last_response.reset();
    request->retry_timer = m_dependencies.timers.schedule(std::get<retry_decision>(decision).delay, [this, request] {
        if (!request->finished)
            attempt(request);
    });
    return true;
}

bool entry_service::record_retry_refusal(const request_ptr& request, const refusal& failure, retry_refusal cause)
{
    m_dependencies.observer.on_retry_decision(failure.reason, cause);
    const bool limit_reached = cause == retry_refusal::allowance_spent || cause == retry_refusal::budget_spent ||
                               cause == retry_refusal::attempts_spent;
    if (limit_reached && request->parent != nullptr)
        request->parent->retries_exhausted = true;
    return false;
}

void entry_service::on_deadline(const request_ptr& request)
{
    if (request->finished)
        return;
    request->deadline_timer = 0;
    if (request->active_call != 0)
        m_dependencies.selector.on_failed(request->upstream);
    abandon_attempt(*request);
    refuse(*request, not_run_refusal(refusal_reason::deadline_expired));
}

void entry_service::abandon_attempt(request_state& request)
{
    if (request.active_call == 0)
        return;
    m_dependencies.transport.cancel(request.active_call);
    request.active_call = 0;
    request.may_have_run = true; // the outcome is unknown without the response
}

std::size_t entry_service::refuse_all(refusal_reason reason)
{
    std::vector<request_ptr> requests;
    requests.reserve(m_requests.size());
    for (const auto& [handle, request] : m_requests)
        requests.push_back(request);
    for (const request_ptr& request : requests) {
        if (request->active_call != 0)
            m_dependencies.selector.on_abandoned(request->upstream);
        abandon_attempt(*request);
        refuse(*request, not_run_refusal(reason));
    }
    return requests.size();
}

void entry_service::issue_idempotency_key(request_state& request)
{
    request.service = request.input.path.substr(key_issue_prefix.size());
    if (request.input.method != "POST" || !m_dependencies.documents.has_service(request.service))
        return refuse(request, not_run_refusal(refusal_reason::route_unknown));
    const auto owner = m_dependencies.selector.choose(request.service, {});
    const member* node = owner ? m_dependencies.members.find(*owner) : nullptr;
    if (node == nullptr)
        return refuse(request, not_run_refusal(refusal_reason::no_upstream, m_settings.default_retry_after));
    const idempotency_key key =
        make_idempotency_key(node->id, std::max<std::uint64_t>(node->once_epoch, 1), m_dependencies.secure_random);
    const nlohmann::json body{{"idempotency_key", to_string(key)}};
    finish(request, {status_created, {{"Content-Type", "application/json"}}, body.dump()}, std::nullopt);
}

void entry_service::forward_response(const request_ptr& request, const call_response& response)
{
    caller_response forwarded{response.status, response.headers, response.body};
    if (response.replayed)
        forwarded.headers.emplace_back(replayed_header, "true");
    finish(*request, std::move(forwarded), std::nullopt);
}

void entry_service::refuse(request_state& request, refusal cause)
{
    if (request.may_have_run)
        cause.result = outcome::unknown;
    m_load.on_refused(request);
    finish(request, m_refusals.write(cause, request.request_id), cause);
}

decision_record entry_service::make_record(const request_state& request) const
{
    decision_record record;
    record.request_id = request.request_id;
    record.fingerprint = request.fingerprint;
    record.hop = request.depth - 1;
    record.node = m_settings.self.name;
    record.peer = request.upstream;
    record.organisation = request.organisation;
    record.service = request.service;
    record.route = request.rules.name;
    record.level = request.level;
    record.idempotent = request.rules.idempotent;
    record.attempts = request.attempts;
    record.configuration_revision = m_dependencies.documents.revision();
    record.waited = request.queue_wait;
    record.took = m_dependencies.timers.now() - request.received_at;
    return record;
}

void entry_service::finish(request_state& request, caller_response response, std::optional<refusal> cause)
{
    decision_record record = make_record(request);
    record.status = static_cast<std::uint32_t>(response.status);
    record.result = cause ? cause->result : outcome::ran;
    if (cause)
        record.reason = cause->reason;
    m_dependencies.observer.on_finished(record);
    if (find_header(response.headers, m_settings.fields.request_id).empty())
        response.headers.emplace_back(m_settings.fields.request_id, request.request_id);
    const response_callback done = std::move(request.done);
    release(request);
    m_requests.erase(request.handle);
    done(std::move(response));
}

void entry_service::release(request_state& request)
{
    request.finished = true;
    m_dependencies.timers.cancel(request.deadline_timer);
    m_dependencies.timers.cancel(request.retry_timer);
    abandon_attempt(request);
    if (request.parent == nullptr)
        return;
    request.parent->nested_call_cancels.erase(request.handle);
    if (request.parent_reservation)
        request.parent->allowance.return_unused(request.parent_reservation->id, request.allowance.remaining());
}

void entry_service::cancel(entry_handle handle)
{
    const auto it = m_requests.find(handle);
    if (it == m_requests.end())
        return;
    const request_ptr request = it->second;
    if (request->active_call != 0)
        m_dependencies.selector.on_abandoned(request->upstream);
    abandon_attempt(*request);
    decision_record record = make_record(*request);
    record.reason = refusal_reason::caller_gone;
    record.status = status_caller_gone;
    record.result = request->may_have_run ? outcome::unknown : outcome::not_run;
    m_dependencies.observer.on_finished(record);
    release(*request);
    m_requests.erase(handle);
}

retry_budget& entry_service::budget_of(const std::string& service)
{
    std::unique_ptr<retry_budget>& budget = m_budgets[service];
    if (budget != nullptr)
        return *budget;
    if (m_settings.make_retry_budget) {
        budget = m_settings.make_retry_budget();
    }
    else {
        budget = std::make_unique<earned_retry_budget>(earned_retry_budget_settings{}, m_dependencies.timers);
    }
    return *budget;
}

} // namespace mulberry
