#include "plugins/entry/entryservice.h"

#include "libs/base/asyncerror.h"
#include "libs/base/invariant.h"
#include "plugins/calls/headerpolicy.h"
#include "plugins/entry/problemdocument.h"
#include "plugins/once/idempotencykey.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

constexpr std::string_view key_issue_prefix = "/mulberry/v1/idempotency-keys/";
constexpr std::string_view authorization_header = "Authorization";
constexpr int status_created = 201;
constexpr int status_bad_gateway = 502;
constexpr int status_service_unavailable = 503;
constexpr int status_gateway_timeout = 504;
// Fields of a call besides headers and body, for the byte budget of the link between regions.
constexpr std::uint64_t call_overhead_bytes = 200;
// Status that the account shows for a caller that left before its answer.
constexpr std::uint32_t status_caller_gone = 499;

std::optional<duration> parse_milliseconds(std::string_view text)
{
    constexpr std::int64_t longest_ms = 86'400'000;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < 0 || value > longest_ms)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

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

/// Whether a guard refused because its upstream is used to the full. What an upstream sheds by itself does not count,
/// nor a call with too little time left: admitting less would not change that.
bool lacks_room(refusal_reason reason)
{
    return reason == refusal_reason::queue_full || reason == refusal_reason::queue_delay ||
           reason == refusal_reason::importance_shed;
}

/// Statuses by which a caller may conclude that its request has not run.
bool promises_not_run(int status)
{
    constexpr std::array promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

} // namespace

struct entry_service::pending {
    entry_handle handle = 0;
    std::string request_id;
    caller_request input;
    answer_callback done;
    time_point received;
    /// Parent of a nested call; null for a caller's request.
    std::shared_ptr<call_context> parent;
    std::optional<attempt_allowance::loan> parent_loan;

    std::string service;
    std::string path;
    route matched;
    std::size_t body_cap = 0;
    std::string key;
    std::string organisation;
    importance level = importance::normal;
    std::uint32_t depth = 1;
    std::optional<idempotency_key> once_key;
    time_point deadline;
    timer_id deadline_timer = 0;
    timer_id retry_timer = 0;

    attempt_allowance allowance{0};
    std::uint32_t most_attempts = 1;
    std::uint32_t most_arrivals = 1;
    std::uint32_t attempts = 0;
    /// Attempts that an upstream may have got.
    std::uint32_t arrivals = 0;
    /// Probability that the call is made on behalf of a repeated request.
    double repeat_share = 0;
    bool may_have_run = false;
    /// An attempt was refused for lack of room.
    bool found_no_room = false;
    bool finished = false;

    std::vector<std::string> failed_upstreams;
    std::string upstream;
    std::uint64_t sequence = 0;
    attempt_allowance::loan loan;
    time_point sent;
    call_id in_flight = 0;
    duration queue_wait{0};
    duration last_service_time{0};
    /// The upstream's own answer to the last attempt, which the caller gets if there is no further attempt.
    std::optional<call_answer> last_answer;
};

entry_service::entry_service(entry_settings settings, entry_parts parts)
    : m_settings(std::move(settings)), m_parts(parts), m_retry(m_settings.retry, parts.timers, parts.random)
{
}

entry_service::~entry_service()
{
    for (const auto& [handle, request] : m_requests)
        release(*request);
}

entry_handle entry_service::handle(caller_request request, answer_callback done)
{
    auto state = std::make_shared<pending>();
    state->input = std::move(request);
    state->done = std::move(done);
    return start(state);
}

entry_handle entry_service::handle_nested(std::shared_ptr<call_context> parent, caller_request request,
                                          answer_callback done)
{
    auto state = std::make_shared<pending>();
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
    auto refused = match(*request);
    if (!refused)
        refused = authenticate(*request);
    if (!refused)
        refused = check_idempotency_key(*request);
    if (!refused)
        refused = check_load(*request);
    if (refused) {
        refuse(*request, *refused);
        return 0;
    }
    request->deadline_timer =
        m_parts.timers.schedule(request->deadline - request->received, [this, request] { on_deadline(request); });
    take_token(request);
    return request->finished ? 0 : request->handle;
}

std::optional<refusal> entry_service::check_load(const pending& request)
{
    // Refusing a nested call would waste the work that its parent has done already.
    if (request.parent != nullptr || is_upstream_call(request))
        return std::nullopt;
    return m_parts.throttle.check(request.service, request.level, request.organisation);
}

std::string entry_service::bottleneck_route(const pending& request)
{
    return fmt::format("{}/{}", request.service, request.matched.name);
}

/// Called for requests within the rate of their organisation only: what is beyond it is no demand on the bottleneck.
std::optional<refusal> entry_service::check_bottlenecks(const pending& request)
{
    if (m_parts.bottlenecks == nullptr || request.parent != nullptr || is_upstream_call(request))
        return std::nullopt;
    return m_parts.bottlenecks->check(bottleneck_route(request), {request.level, request.matched.level});
}

std::string entry_service::request_id_of(const pending& request) const
{
    if (request.parent != nullptr)
        return request.parent->request_id;
    if (m_settings.fields.caller_sets_request_id)
        return std::string(find_header(request.input.headers, m_settings.fields.request_id));
    return fmt::format("{}-{}-{}", m_settings.self.name, m_settings.self.incarnation, request.handle);
}

std::optional<refusal> entry_service::match(pending& request)
{
    auto found = m_parts.documents.match(request.input.method, request.input.path, request.input.host);
    if (const auto* refused = std::get_if<refusal>(&found))
        return *refused;
    auto& matched = std::get<matched_route>(found);
    request.service = std::move(matched.service);
    request.path = std::move(matched.path);
    request.matched = std::move(matched.rules);
    if (request.input.body.size() > matched.body_cap_bytes)
        return not_run(refusal_reason::body_too_large);
    request.level = request.matched.level;
    request.most_attempts = std::max(matched.total_attempts, 1U);
    request.most_arrivals = matched.most_arrivals;
    request.allowance = attempt_allowance(request.most_attempts - 1);
    request.deadline = request.received + request.matched.deadline;
    const std::string_view wanted = find_header(request.input.headers, m_settings.fields.deadline);
    if (wanted.empty())
        return std::nullopt;
    const auto limit = parse_milliseconds(wanted);
    if (!limit)
        return not_run(refusal_reason::malformed_request);
    request.deadline = std::min(request.deadline, request.received + *limit);
    return std::nullopt;
}

bool entry_service::is_upstream_call(const pending& request) const
{
    return m_settings.open_requests_are_nested && request.matched.open &&
           find_header(request.input.headers, authorization_header).empty();
}

std::optional<refusal> entry_service::authenticate(pending& request)
{
    if (request.parent != nullptr) {
        const call_context& parent = *request.parent;
        request.organisation = parent.organisation;
        request.level = std::min(parent.level, request.matched.level);
        request.depth = parent.depth + 1;
        request.deadline = std::min(request.deadline, parent.deadline);
        if (!request.matched.allows_calling_service(parent.service))
            return not_run(refusal_reason::organisation_not_allowed);
        if (!request.matched.open && !request.matched.allows_organisation(request.organisation))
            return not_run(refusal_reason::organisation_not_allowed);
        request.parent_loan = request.parent->allowance.lend(request.parent->allowance.part_to_lend());
        request.allowance = attempt_allowance(request.parent_loan->attempts);
        request.most_attempts = request.parent_loan->attempts + 1;
        request.parent->nested[request.handle] = [this, handle = request.handle] { cancel(handle); };
        return std::nullopt;
    }
    if (request.matched.open)
        return std::nullopt;
    const std::string_view field = find_header(request.input.headers, authorization_header);
    if (!field.starts_with(m_settings.fields.credential_prefix))
        return not_run(refusal_reason::key_missing);
    if (!m_parts.documents.keyed_requests_allowed())
        return not_run(refusal_reason::view_stale, jittered(m_settings.default_retry_after));
    request.key = field.substr(m_settings.fields.credential_prefix.size());
    const auto organisation = m_parts.documents.organisation_of(request.key);
    if (!organisation)
        return not_run(refusal_reason::key_unknown);
    if (!request.matched.allows_organisation(*organisation))
        return not_run(refusal_reason::organisation_not_allowed);
    request.organisation = *organisation;
    request.level = m_parts.documents.level_of(request.matched, request.organisation);
    return std::nullopt;
}

std::optional<refusal> entry_service::check_idempotency_key(pending& request)
{
    const std::string_view text = find_header(request.input.headers, idempotency_key_header);
    if (request.matched.idempotent || text.empty())
        return std::nullopt;
    request.once_key = parse_idempotency_key(text);
    if (!request.once_key)
        return not_run(refusal_reason::idempotency_key_invalid);
    const member* home = m_parts.members.find(request.once_key->home.name);
    // An earlier request with this key may have run at the home that is gone.
    if (home == nullptr || home->id != request.once_key->home)
        return refusal{refusal_reason::idempotency_home_lost, outcome::unknown, duration{0}};
    if (home->service != request.service)
        return not_run(refusal_reason::idempotency_key_invalid);
    return std::nullopt;
}

std::optional<refusal> entry_service::reauthorise(const pending& request) const
{
    if (request.parent != nullptr || request.matched.open)
        return std::nullopt;
    if (!m_parts.documents.keyed_requests_allowed())
        return not_run(refusal_reason::view_stale);
    if (!m_parts.documents.authorises(request.key, request.organisation))
        return not_run(refusal_reason::key_unknown);
    return std::nullopt;
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
    if (const auto refused = check_bottlenecks(*request))
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
    if (const auto refused = reauthorise(*request))
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
    if (is_upstream_call(request) && m_settings.upstream_repeat_share)
        request.repeat_share = m_settings.upstream_repeat_share();
    budget_of(request.service).on_request(request.repeat_share);
}

call_request entry_service::make_call(pending& request)
{
    call_request call;
    call.attempt = {m_settings.self, request.sequence};
    call.request_id = request.request_id;
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
    const bool matches = result->receiver == request->upstream && result->sequence == request->sequence;
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
    m_parts.throttle.observe(request.service, request.upstream, request.organisation, answer.load);
    learn_downstream(request, answer);
    if (request.parent == nullptr)
        return;
    std::optional<load_report>& below = request.parent->load_below;
    below = below ? stricter(*below, answer.load) : answer.load;
}

void entry_service::learn_downstream(const pending& request, const call_answer& answer)
{
    if (answer.result != outcome::ran)
        return;
    if (is_upstream_call(request)) {
        if (m_parts.downstream != nullptr)
            m_parts.downstream->on_answered(request.service, answer.downstream);
        return;
    }
    constexpr int first_server_error = 500;
    if (m_parts.bottlenecks != nullptr)
        m_parts.bottlenecks->observe(bottleneck_route(request), answer.status >= first_server_error, answer.downstream);
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
    request->found_no_room |= lacks_room(failure.reason);
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

int entry_service::status_of(const refusal& why) const
{
    const int status = http_status(why.reason);
    if (!m_settings.status_tells_outcome)
        return status;
    if (why.result != outcome::not_run && promises_not_run(status))
        return status_bad_gateway;
    if (why.result == outcome::not_run && status == status_gateway_timeout)
        return status_service_unavailable;
    return status;
}

std::string entry_service::retry_after_text(duration interval) const
{
    if (m_settings.fractional_retry_after)
        return fmt::format("{:.3f}", to_seconds(interval));
    // Whole seconds (RFC 9110); rounding up keeps the caller from coming back too early.
    return fmt::to_string(std::chrono::ceil<std::chrono::seconds>(interval).count());
}

void entry_service::refuse(pending& request, refusal why)
{
    if (request.may_have_run)
        why.result = outcome::unknown;
    if (m_parts.downstream != nullptr && is_upstream_call(request) && request.found_no_room)
        m_parts.downstream->on_refused(request.service);
    caller_answer answer;
    answer.status = status_of(why);
    answer.headers.emplace_back("Content-Type", problem_content_type);
    constexpr int too_many_requests = 429;
    if (answer.status == too_many_requests || answer.status == status_service_unavailable) {
        if (why.retry_after <= duration{0})
            why.retry_after = jittered(m_settings.default_retry_after);
        answer.headers.emplace_back("Retry-After", retry_after_text(why.retry_after));
    }
    answer.body = problem_document(why, request.request_id);
    finish(request, std::move(answer), why);
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
    if (budget == nullptr)
        budget = m_settings.make_retry_budget
                     ? m_settings.make_retry_budget()
                     : std::make_unique<earned_retry_budget>(earned_retry_budget_settings{}, m_parts.timers);
    return *budget;
}

duration entry_service::jittered(duration interval)
{
    return from_seconds(to_seconds(interval) * (0.5 + m_parts.random.unit()));
}

} // namespace mulberry
