#include "plugins/entry/entryservice.h"

#include "libs/base/asyncerror.h"
#include "libs/base/invariant.h"
#include "plugins/calls/headerpolicy.h"
#include "plugins/once/idempotencykey.h"
#include "plugins/retry/earnedretrybudget.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

constexpr std::string_view key_issue_prefix = "/mulberry/v1/idempotency-keys/";
constexpr int status_created = 201;
constexpr int status_service_unavailable = 503;
// Fields of a call besides headers and body, for the byte budget of the link between regions.
constexpr std::uint64_t call_overhead_bytes = 200;
// Status that the account shows for a caller that left before its answer.
constexpr std::uint32_t status_caller_gone = 499;

std::uint64_t size_of(const header_list& headers, const std::string& body)
{
    std::uint64_t bytes = call_overhead_bytes + body.size();
    for (const auto& [name, value] : headers)
        bytes += name.size() + value.size();
    return bytes;
}

/// Whether an upstream may have got the attempt.
bool arrived(const refusal& failure)
{
    return failure.result != outcome::not_run || failure.reason == refusal_reason::upstream_shed;
}

} // namespace

entry_service::entry_service(entry_settings settings, entry_parts parts)
    : m_settings(std::move(settings)), m_parts(parts), m_checks(m_settings, m_parts), m_load(m_parts),
      m_refusals(m_settings, parts.random), m_retry(m_settings.retry, parts.timers, parts.random)
{
}

entry_service::~entry_service()
{
    for (const auto& [handle, request] : m_requests)
        release(*request);
}

entry_handle entry_service::handle(caller_request request, answer_callback done)
{
    auto state = std::make_shared<detail::entry_request>();
    state->input = std::move(request);
    state->done = std::move(done);
    return start(state);
}

entry_handle entry_service::handle_nested(std::shared_ptr<call_context> parent, caller_request request,
                                          answer_callback done)
{
    auto state = std::make_shared<detail::entry_request>();
    state->input = std::move(request);
    state->done = std::move(done);
    state->parent = std::move(parent);
    if (state->parent == nullptr || !state->parent->running) {
        state->handle = ++m_last_handle;
        state->received = m_parts.timers.now();
        refuse(*state, not_run(refusal_reason::context_unknown));
        return 0;
    }
    return start(state);
}

entry_handle entry_service::start(const pending_ptr& request)
{
    request->handle = ++m_last_handle;
    request->received = m_parts.timers.now();
    request->request_id = request_id_of(*request);
    m_requests[request->handle] = request;
    if (request->parent == nullptr && request->input.path.starts_with(key_issue_prefix)) {
        issue_idempotency_key(*request);
        return 0;
    }
    auto refused = m_checks.match(*request);
    if (!refused)
        refused = m_checks.authenticate(*request);
    if (!refused && request->parent != nullptr)
        request->parent->nested[request->handle] = [this, handle = request->handle] { cancel(handle); };
    if (!refused)
        refused = m_checks.check_idempotency_key(*request);
    if (!refused)
        refused = m_load.check(*request);
    if (refused) {
        refuse(*request, *refused);
        return 0;
    }
    request->deadline_timer =
        m_parts.timers.schedule(request->deadline - request->received, [this, request] { on_deadline(request); });
    take_token(request);
    return request->finished ? 0 : request->handle;
}

std::string entry_service::request_id_of(const pending& request) const
{
    if (request.parent != nullptr)
        return request.parent->request_id;
    if (m_settings.fields.caller_sets_request_id)
        return std::string(find_header(request.input.headers, m_settings.fields.request_id));
    return fmt::format("{}-{}-{}", m_settings.self.name, m_settings.self.incarnation, request.handle);
}

void entry_service::take_token(const pending_ptr& request)
{
    if (request->parent != nullptr || request->matched.open)
        return first_attempt(request);
    m_parts.rates.admit(request->organisation, [this, request](const std::optional<refusal>& refused) {
        if (request->finished)
            return;
        if (refused)
            return refuse(*request, *refused);
        first_attempt(request);
    });
}

void entry_service::first_attempt(const pending_ptr& request)
{
    if (const auto refused = m_load.check_bottlenecks(*request))
        return refuse(*request, *refused);
    attempt(request);
}

std::optional<std::string> entry_service::choose(const pending& request)
{
    if (request.once_key)
        return request.once_key->home.name;
    routing_context context;
    context.excluded = request.failed_upstreams;
    context.request_bytes = size_of(request.input.headers, request.input.body);
    auto chosen = m_parts.selector.choose(request.service, context);
    if (chosen || request.arrivals > 0)
        return chosen;
    // Every upstream's guard has refused for lack of room, which may have changed since.
    context.excluded = {};
    return m_parts.selector.choose(request.service, context);
}

void entry_service::attempt(const pending_ptr& request)
{
    request->retry_timer = 0;
    if (const auto refused = m_checks.reauthorise(*request))
        return refuse(*request, *refused);
    const auto upstream = choose(*request);
    if (!upstream)
        return refuse(*request, not_run(refusal_reason::no_upstream, m_settings.default_retry_after));
    if (!invariant_monitor::instance().check(request->attempts < request->most_attempts, invariant::attempts_bounded,
                                             "a request made more attempts than its tree may make"))
        return refuse(*request, not_run(refusal_reason::invariant_violated));
    if (request->attempts == 0)
        note_first_attempt(*request);
    ++request->attempts;
    request->upstream = *upstream;
    request->sequence = ++m_last_sequence;
    request->loan = request->allowance.lend(request->allowance.part_to_lend());
    request->sent = m_parts.timers.now();
    const call_request call = make_call(*request);
    m_parts.selector.on_sent(*upstream, size_of(call.headers, call.body));
    request->in_flight = m_parts.transport.send(
        *upstream, call, [this, request](leaf::result<call_answer> result) { on_answer(request, std::move(result)); });
}

void entry_service::note_first_attempt(pending& request)
{
    if (request.is_upstream_call && m_settings.upstream_repeat_share)
        request.repeat_share = m_settings.upstream_repeat_share();
    budget_of(request.service).on_request(request.repeat_share);
}

call_request entry_service::make_call(pending& request)
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
    call.route = request.matched.name;
    call.level = request.level;
    call.remaining = request.deadline - m_parts.timers.now();
    call.retries = request.loan.attempts;
    call.repeat_share = request.arrivals > 0 ? 1 : static_cast<float>(request.repeat_share);
    call.idempotent = request.matched.idempotent;
    if (request.once_key)
        call.idempotency_key = to_string(*request.once_key);
    call.revision = m_parts.documents.revision();
    call.depth = request.depth;
    call.method = request.input.method;
    call.path = request.path;
    call.headers = forwardable(request.input.headers, m_settings.fields);
    if (m_settings.fields.forwards_host)
        call.headers.emplace_back(host_header, request.input.host);
    call.body = request.input.body;
    return call;
}

void entry_service::on_answer(const pending_ptr& request, leaf::result<call_answer> result)
{
    if (request->finished)
        return;
    request->in_flight = 0;
    if (!result)
        return on_lost(request, error_of(std::move(result), call_error::connection_lost));
    const bool same_attempt = result->sequence == request->sequence;
    // Another node has the address now and has refused the call.
    if (same_attempt && result->receiver != request->upstream && result->result == outcome::not_run)
        return on_lost(request, call_error::not_sent);
    const bool matches = same_attempt && result->receiver == request->upstream;
    if (!invariant_monitor::instance().check(matches, invariant::answer_matches_request,
                                             "an answer came for another attempt"))
        return on_lost(request, call_error::malformed);
    accept_answer(request, std::move(*result));
}

void entry_service::on_lost(const pending_ptr& request, call_error error)
{
    m_parts.selector.on_failed(request->upstream);
    if (error == call_error::not_sent) {
        request->allowance.give_back(request->loan.id, request->loan.attempts);
        return on_failure(request, not_run(refusal_reason::upstream_unreachable), false, false);
    }
    on_failure(request, {refusal_reason::connection_lost, outcome::unknown, duration{0}}, false, false);
}

void entry_service::learn(const pending& request, const call_answer& answer)
{
    const duration latency = m_parts.timers.now() - request.sent;
    if (answer.result != outcome::ran && answer.failed_below) {
        m_parts.selector.on_abandoned(request.upstream);
    }
    else if (answer.result == outcome::ran) {
        m_parts.selector.on_answer(request.upstream, latency, answer.load, size_of(answer.headers, answer.body));
    }
    else if (answer.result == outcome::not_run) {
        m_parts.selector.on_refused(request.upstream);
    }
    else {
        m_parts.selector.on_failed(request.upstream);
    }
    m_load.learn(request, answer);
    if (request.parent == nullptr)
        return;
    std::optional<load_report>& below = request.parent->load_below;
    below = below ? stricter(*below, answer.load) : answer.load;
}

void entry_service::accept_answer(const pending_ptr& request, call_answer answer)
{
    request->allowance.give_back(request->loan.id, answer.unused_retries);
    request->queue_wait += answer.queue_wait;
    request->last_service_time = answer.service_time;
    learn(*request, answer);
    if (answer.reason)
        return on_failure(request, answer.as_refusal(), answer.failed_below, answer.retries_exhausted);
    if (answer.status != status_service_unavailable || answer.replayed) {
        budget_of(request->service).on_success();
        return answer_upstream(request, answer);
    }
    // The upstream shed the request itself. Whether it did any work is not known.
    const bool below = answer.failed_below;
    const bool exhausted = answer.retries_exhausted;
    request->last_answer = std::move(answer);
    on_failure(request, {refusal_reason::upstream_shed, outcome::unknown, duration{0}}, below, exhausted);
}

void entry_service::on_failure(const pending_ptr& request, const refusal& failure, bool below, bool exhausted)
{
    if (failure.result != outcome::not_run)
        request->may_have_run = true;
    request->found_no_room |= detail::lacks_room(failure.reason);
    if (retry(request, failure, below, exhausted))
        return;
    if (request->parent != nullptr) {
        request->parent->failed_below = true;
        request->parent->retries_exhausted |= exhausted;
    }
    if (request->last_answer)
        return answer_upstream(request, *request->last_answer);
    refuse(*request, failure);
}

bool entry_service::retry(const pending_ptr& request, const refusal& failure, bool below, bool exhausted)
{
    failed_attempt failed;
    failed.failure = failure;
    failed.level = request->level;
    // Attempts under one idempotency key go to its home, which answers a repeated one from its record.
    failed.idempotent = request->matched.idempotent || request->once_key.has_value();
    failed.next_hop_failed = !below;
    failed.retries_exhausted = exhausted;
    failed.attempts_made = request->attempts;
    failed.deadline = request->deadline;
    failed.expected_time = request->last_service_time;
    failed.arrived = arrived(failure);
    if (failed.arrived && ++request->arrivals >= request->most_arrivals)
        return note_retry_refusal(request, failure, retry_refusal::attempts_spent);
    const auto decision = m_retry.on_failure(failed, request->allowance, budget_of(request->service));
    const auto* refused = std::get_if<retry_refusal>(&decision);
    if (refused != nullptr)
        return note_retry_refusal(request, failure, *refused);
    m_parts.observer.on_retry_decision(failure.reason, std::nullopt);
    request->failed_upstreams.push_back(request->upstream);
    request->last_answer.reset();
    request->retry_timer = m_parts.timers.schedule(std::get<retry_decision>(decision).delay, [this, request] {
        if (!request->finished)
            attempt(request);
    });
    return true;
}

bool entry_service::note_retry_refusal(const pending_ptr& request, const refusal& failure, retry_refusal why)
{
    m_parts.observer.on_retry_decision(failure.reason, why);
    const bool spent = why == retry_refusal::allowance_spent || why == retry_refusal::budget_spent ||
                       why == retry_refusal::attempts_spent;
    if (spent && request->parent != nullptr)
        request->parent->retries_exhausted = true;
    return false;
}

void entry_service::on_deadline(const pending_ptr& request)
{
    if (request->finished)
        return;
    request->deadline_timer = 0;
    if (request->in_flight != 0)
        m_parts.selector.on_failed(request->upstream);
    abandon_attempt(*request);
    refuse(*request, not_run(refusal_reason::deadline_expired));
}

void entry_service::abandon_attempt(pending& request)
{
    if (request.in_flight == 0)
        return;
    m_parts.transport.cancel(request.in_flight);
    request.in_flight = 0;
    request.may_have_run = true; // its answer would have told
}

std::size_t entry_service::refuse_all(refusal_reason reason)
{
    std::vector<pending_ptr> requests;
    requests.reserve(m_requests.size());
    for (const auto& [handle, request] : m_requests)
        requests.push_back(request);
    for (const pending_ptr& request : requests) {
        if (request->in_flight != 0)
            m_parts.selector.on_abandoned(request->upstream);
        abandon_attempt(*request);
        refuse(*request, not_run(reason));
    }
    return requests.size();
}

void entry_service::issue_idempotency_key(pending& request)
{
    request.service = request.input.path.substr(key_issue_prefix.size());
    if (request.input.method != "POST" || !m_parts.documents.has_service(request.service))
        return refuse(request, not_run(refusal_reason::route_unknown));
    const auto home = m_parts.selector.choose(request.service, {});
    const member* node = home ? m_parts.members.find(*home) : nullptr;
    if (node == nullptr)
        return refuse(request, not_run(refusal_reason::no_upstream, m_settings.default_retry_after));
    const idempotency_key key =
        make_idempotency_key(node->id, std::max<std::uint64_t>(node->once_epoch, 1), m_parts.secure_random);
    const nlohmann::json body{{"idempotency_key", to_string(key)}};
    finish(request, {status_created, {{"Content-Type", "application/json"}}, body.dump()}, std::nullopt);
}

void entry_service::answer_upstream(const pending_ptr& request, const call_answer& answer)
{
    caller_answer out{answer.status, answer.headers, answer.body};
    if (answer.replayed)
        out.headers.emplace_back(replayed_header, "true");
    finish(*request, std::move(out), std::nullopt);
}

void entry_service::refuse(pending& request, refusal why)
{
    if (request.may_have_run)
        why.result = outcome::unknown;
    m_load.on_refused(request);
    finish(request, m_refusals.write(why, request.request_id), why);
}

decision_record entry_service::make_record(const pending& request) const
{
    decision_record record;
    record.request_id = request.request_id;
    record.hop = request.depth - 1;
    record.node = m_settings.self.name;
    record.peer = request.upstream;
    record.organisation = request.organisation;
    record.service = request.service;
    record.route = request.matched.name;
    record.level = request.level;
    record.idempotent = request.matched.idempotent;
    record.attempts = request.attempts;
    record.configuration_revision = m_parts.documents.revision();
    record.waited = request.queue_wait;
    record.took = m_parts.timers.now() - request.received;
    return record;
}

void entry_service::finish(pending& request, caller_answer answer, std::optional<refusal> why)
{
    decision_record record = make_record(request);
    record.status = static_cast<std::uint32_t>(answer.status);
    record.result = why ? why->result : outcome::ran;
    if (why)
        record.reason = why->reason;
    m_parts.observer.on_finished(record);
    if (find_header(answer.headers, m_settings.fields.request_id).empty())
        answer.headers.emplace_back(m_settings.fields.request_id, request.request_id);
    const answer_callback done = std::move(request.done);
    release(request);
    m_requests.erase(request.handle);
    done(std::move(answer));
}

void entry_service::release(pending& request)
{
    request.finished = true;
    m_parts.timers.cancel(request.deadline_timer);
    m_parts.timers.cancel(request.retry_timer);
    abandon_attempt(request);
    if (request.parent == nullptr)
        return;
    request.parent->nested.erase(request.handle);
    if (request.parent_loan)
        request.parent->allowance.give_back(request.parent_loan->id, request.allowance.remaining());
}

void entry_service::cancel(entry_handle handle)
{
    const auto it = m_requests.find(handle);
    if (it == m_requests.end())
        return;
    const pending_ptr request = it->second;
    if (request->in_flight != 0)
        m_parts.selector.on_abandoned(request->upstream);
    abandon_attempt(*request);
    decision_record record = make_record(*request);
    record.reason = refusal_reason::caller_gone;
    record.status = status_caller_gone;
    record.result = request->may_have_run ? outcome::unknown : outcome::not_run;
    m_parts.observer.on_finished(record);
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
        budget = std::make_unique<earned_retry_budget>(earned_retry_budget_settings{}, m_parts.timers);
    }
    return *budget;
}

} // namespace mulberry
