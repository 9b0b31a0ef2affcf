#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "plugins/calls/callcontext.h"
#include "plugins/calls/calltransport.h"
#include "plugins/calls/fieldnames.h"
#include "plugins/calls/requestobserver.h"
#include "plugins/entry/policy.h"
#include "plugins/entry/ratelimiter.h"
#include "plugins/membership/memberdirectory.h"
#include "plugins/retry/earnedretrybudget.h"
#include "plugins/retry/retrypolicy.h"
#include "plugins/routing/upstreamselector.h"
#include "plugins/throttle/bottleneckthrottle.h"
#include "plugins/throttle/downstreammonitor.h"
#include "plugins/throttle/entrythrottle.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberry {

/// A request as the HTTP server received it. The path starts with "/" and holds the query, if there is one.
struct caller_request {
    std::string method;
    std::string path;
    header_list headers;
    std::string body;
    /// The Host field where routes depend on it.
    std::string host{};
};

/// What the caller gets. Refusals have a problem document (RFC 9457) as body.
struct caller_answer {
    int status = 0;
    header_list headers;
    std::string body;
};

struct entry_settings {
    node_id self;
    retry_settings retry;
    /// Makes the budget of the retries to one service; empty for one that is earned by successes.
    std::function<std::unique_ptr<retry_budget>()> make_retry_budget;
    /// Share of the upstream's calls that it makes on behalf of repeated requests; empty if that isn't known.
    std::function<double()> upstream_repeat_share;
    /// Retry-After of refusals that name none; the jitter makes it 0.5 to 1.5 times this.
    duration default_retry_after{std::chrono::seconds(1)};
    field_names fields;
    /// The service that callers' own requests come from; empty if they don't come from a service.
    std::string calling_service;
    /// Requests without a key on open routes are the calls of the upstream beside this node, which carry no context.
    bool open_requests_are_nested = false;
    /// Callers conclude from the status alone whether a request has run: 408, 421, 429 and 503 say that it has not.
    bool status_tells_outcome = false;
    /// Retry-After may have a fraction.
    bool fractional_retry_after = false;
};

/// The parts that an entry works with. All outlive it.
struct entry_parts {
    timer_service& timers;
    /// For jitter.
    random_source& random;
    /// For idempotency keys; must not be predictable.
    random_source& secure_random;
    const policy& documents;
    rate_limiter& rates;
    entry_throttle& throttle;
    upstream_selector& selector;
    const member_directory& members;
    call_transport& transport;
    request_observer& observer;
    /// Where nested calls carry no context, what they meet is kept here and reported to the entries. May be null, then
    /// requests aren't refused for a bottleneck further down.
    downstream_monitor* downstream = nullptr;
    bottleneck_throttle* bottlenecks = nullptr;
};

using entry_handle = std::uint64_t;

/// The way of a request from its caller to an upstream and back: of callers outside and of the nested calls of the
/// upstream beside this node. Each request is answered exactly once unless it is cancelled.
class entry_service {
public:
    using answer_callback = std::function<void(caller_answer)>;

    entry_service(entry_settings settings, entry_parts parts);
    ~entry_service();

    /// Takes a caller's request. The answer may come before this returns; the handle is 0 then.
    entry_handle handle(caller_request request, answer_callback done);

    /// Takes a nested call of the upstream; a null context refuses it.
    entry_handle handle_nested(std::shared_ptr<call_context> parent, caller_request request, answer_callback done);

    /// The caller has gone: the attempt in progress is cancelled and no answer is given.
    void cancel(entry_handle handle);

    /// Answers every request in progress as refused with the reason. Returns how many there were.
    std::size_t refuse_all(refusal_reason reason);

    std::size_t in_progress() const { return m_requests.size(); }

private:
    struct pending;
    using pending_ptr = std::shared_ptr<pending>;

    entry_handle start(const pending_ptr& request);
    std::string request_id_of(const pending& request) const;
    std::optional<refusal> match(pending& request);
    std::optional<refusal> check_load(const pending& request);
    std::optional<refusal> check_bottlenecks(const pending& request);
    static std::string bottleneck_route(const pending& request);
    void learn_downstream(const pending& request, const call_answer& answer);
    bool is_upstream_call(const pending& request) const;
    std::optional<refusal> authenticate(pending& request);
    std::optional<refusal> check_idempotency_key(pending& request);
    std::optional<refusal> reauthorise(const pending& request) const;
    void take_token(const pending_ptr& request);
    void first_attempt(const pending_ptr& request);
    void attempt(const pending_ptr& request);
    void note_first_attempt(pending& request);
    std::optional<std::string> choose(const pending& request);
    call_request make_call(pending& request);
    void on_answer(const pending_ptr& request, leaf::result<call_answer> result);
    void accept_answer(const pending_ptr& request, call_answer answer);
    void on_lost(const pending_ptr& request, call_error error);
    void learn(const pending& request, const call_answer& answer);
    void on_failure(const pending_ptr& request, const refusal& failure, bool below, bool exhausted);
    bool retry(const pending_ptr& request, const refusal& failure, bool below, bool exhausted);
    bool note_retry_refusal(const pending_ptr& request, const refusal& failure, retry_refusal why);
    void on_deadline(const pending_ptr& request);
    void abandon_attempt(pending& request);
    void issue_idempotency_key(pending& request);

    void answer_upstream(const pending_ptr& request, const call_answer& answer);
    int status_of(const refusal& why) const;
    std::string retry_after_text(duration interval) const;
    void refuse(pending& request, refusal why);
    void finish(pending& request, caller_answer answer, std::optional<refusal> why);
    decision_record make_record(const pending& request) const;
    void release(pending& request);
    retry_budget& budget_of(const std::string& service);
    duration jittered(duration interval);

    entry_settings m_settings;
    entry_parts m_parts;
    retry_policy m_retry;
    std::map<std::string, std::unique_ptr<retry_budget>> m_budgets;
    std::unordered_map<entry_handle, pending_ptr> m_requests;
    entry_handle m_last_handle = 0;
    std::uint64_t m_last_sequence = 0;
};

} // namespace mulberry
