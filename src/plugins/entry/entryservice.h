#pragma once

#include "plugins/calls/callcontext.h"
#include "plugins/entry/callerrequest.h"
#include "plugins/entry/entrychecks.h"
#include "plugins/entry/entryload.h"
#include "plugins/entry/entryparts.h"
#include "plugins/entry/entryrequest.h"
#include "plugins/entry/refusalwriter.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberry {

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
    using pending = detail::entry_request;
    using pending_ptr = std::shared_ptr<pending>;

    entry_handle start(const pending_ptr& request);
    std::string request_id_of(const pending& request) const;
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
    void refuse(pending& request, refusal why);
    void finish(pending& request, caller_answer answer, std::optional<refusal> why);
    decision_record make_record(const pending& request) const;
    void release(pending& request);
    retry_budget& budget_of(const std::string& service);

    entry_settings m_settings;
    entry_parts m_parts;
    detail::entry_checks m_checks;
    detail::entry_load m_load;
    detail::refusal_writer m_refusals;
    retry_policy m_retry;
    std::map<std::string, std::unique_ptr<retry_budget>> m_budgets;
    std::unordered_map<entry_handle, pending_ptr> m_requests;
    entry_handle m_last_handle = 0;
    std::uint64_t m_last_sequence = 0;
};

} // namespace mulberry
