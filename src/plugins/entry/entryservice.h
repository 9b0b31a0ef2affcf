#pragma once

#include "plugins/calls/callcontext.h"
#include "plugins/entry/callerrequest.h"
#include "plugins/entry/entrychecks.h"
#include "plugins/entry/entrydependencies.h"
#include "plugins/entry/entryload.h"
#include "plugins/entry/entryrequest.h"
#include "plugins/entry/refusalwriter.h"
#include "plugins/entry/upstreamnotices.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberry {

using entry_handle = std::uint64_t;

/// Forwards requests to upstreams and returns the responses, both for external callers and for nested calls of the
/// upstream beside this node. Each request gets exactly one response unless it is cancelled.
class entry_service {
public:
    using response_callback = std::function<void(caller_response)>;

    entry_service(entry_settings settings, entry_dependencies dependencies);
    ~entry_service();

    /// Starts a caller's request. If the response is given before this returns, the handle is 0.
    entry_handle handle(caller_request request, response_callback done);

    /// Starts a nested call of the upstream. It is refused if the context is null or its request has ended.
    entry_handle handle_nested(std::shared_ptr<call_context> parent, caller_request request, response_callback done);

    /// Handles the disconnection of the caller: cancels the attempt in progress and gives no response.
    void cancel(entry_handle handle);

    /// Begins the planned stop of this node, which ends at `end`. From now on a request is refused as not run unless
    /// its deadline is before the end, because it would be cut otherwise.
    void begin_stopping(time_point end) { m_stops_at = end; }

    /// Refuses every request in progress with the given reason. Returns the number of these requests.
    std::size_t refuse_all(refusal_reason reason);

    std::size_t in_progress() const { return m_requests.size(); }

private:
    using request_state = detail::entry_request;
    using request_ptr = std::shared_ptr<request_state>;

    entry_handle start(const request_ptr& request);
    std::optional<refusal> check_planned_stop(const request_state& request);
    std::string request_id_of(const request_state& request) const;
    request_fingerprint fingerprint_of_request(const request_state& request) const;
    std::optional<refusal> check_quarantine(const request_state& request) const;
    void take_token(const request_ptr& request);
    void first_attempt(const request_ptr& request);
    void attempt(const request_ptr& request);
    void record_first_attempt(request_state& request);
    std::optional<std::string> choose_upstream(const request_state& request);
    call_request make_call(request_state& request);
    void on_response(const request_ptr& request, leaf::result<call_response> result);
    void handle_response(const request_ptr& request, call_response response);
    void on_attempt_lost(const request_ptr& request, call_error error);
    void record_response(const request_state& request, const call_response& response);
    void on_failure(const request_ptr& request, const refusal& failure, bool failed_downstream, bool retries_exhausted);
    bool retry(const request_ptr& request, const refusal& failure, bool failed_downstream, bool retries_exhausted);
    bool record_retry_refusal(const request_ptr& request, const refusal& failure, retry_refusal cause);
    void on_deadline(const request_ptr& request);
    void abandon_attempt(request_state& request);
    void issue_idempotency_key(request_state& request);

    void forward_response(const request_ptr& request, const call_response& response);
    void refuse(request_state& request, refusal cause);
    void finish(request_state& request, caller_response response, std::optional<refusal> cause);
    decision_record make_record(const request_state& request) const;
    void release(request_state& request);
    retry_budget& budget_of(const std::string& service);

    entry_settings m_settings;
    entry_dependencies m_dependencies;
    detail::entry_checks m_checks;
    detail::entry_load m_load;
    detail::refusal_writer m_refusals;
    retry_policy m_retry;
    detail::upstream_notices m_notices;
    std::map<std::string, std::unique_ptr<retry_budget>> m_budgets;
    std::unordered_map<entry_handle, request_ptr> m_requests;
    entry_handle m_last_handle = 0;
    std::uint64_t m_last_sequence = 0;
    std::optional<time_point> m_stops_at;
};

} // namespace mulberry
