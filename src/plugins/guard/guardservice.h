#pragma once

#include "libs/base/randomsource.h"
#include "libs/http/httpclient.h"
#include "plugins/admission/admissionqueue.h"
#include "plugins/calls/callanswer.h"
#include "plugins/calls/callcontext.h"
#include "plugins/calls/fieldnames.h"
#include "plugins/calls/requestobserver.h"
#include "plugins/guard/attemptfilter.h"
#include "plugins/once/onceledger.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mulberry {

struct guard_settings {
    node_id self;
    std::string service;
    /// Base URL of the upstream, without a trailing slash.
    std::string upstream_url;
    admission_settings admission;
    once_settings once;
    /// After begin_leaving, calls that were sent before their sender knew are still taken for this time.
    duration leaving_grace{std::chrono::seconds(2)};
    /// The upstream announces itself and may be replaced; see set_upstream.
    bool dynamic_upstream = false;
    /// Part of the announced slots that is used at most: an upstream that is nearly full takes longer for every call.
    double slot_share = 1;
    /// After the upstream has said that it leaves, calls are still handed over for this time.
    duration upstream_leaving_grace{std::chrono::seconds(1)};
    field_names fields;
    /// What answers report of the services that the upstream calls; empty to report nothing.
    std::function<std::vector<downstream_load>()> downstream_report;
};

/// The upstream beside this node as it announced itself.
struct upstream_status {
    bool present = false;
    /// Id of this run of the upstream.
    std::string instance;
    std::string service;
    std::uint32_t slots = 0;
    /// Set once the upstream has said that it leaves.
    std::optional<time_point> leaving_since;
};

/// Takes calls for the upstream beside this node and answers each exactly once, unless the sender cancels it.
class guard_service final : private admission_listener {
public:
    using answer_callback = std::function<void(call_answer)>;

    /// The random source makes the tokens of running calls and must not be predictable.
    guard_service(guard_settings settings, timer_service& timers, random_source& secure_random, http_client& upstream,
                  request_observer& observer);

    /// Takes a call. `from` is the authenticated name of the sender.
    void handle(std::string_view from, call_request request, answer_callback done);

    /// The sender no longer waits. A waiting call is dropped, a running idempotent one is cancelled at the upstream. A
    /// running non-idempotent one goes on, so that its answer can be kept. No answer is given.
    void cancel(const attempt_id& id);

    /// The parent of a nested call, by the token that the upstream got; null if no such call is running.
    std::shared_ptr<call_context> find_context(std::string_view token) const;

    /// Refuses new calls after the grace; what waits or runs is finished.
    void begin_leaving();

    /// Answers every call in progress as refused with the reason; running ones as "unknown". Returns how many there
    /// were.
    std::size_t refuse_all(refusal_reason reason);

    /// Applies what the upstream announced. Only with guard_settings::dynamic_upstream.
    void set_upstream(upstream_status status);

    void set_slots(std::uint32_t slots) { m_admission.set_slots(slots); }
    std::uint64_t once_epoch() const { return m_once.epoch(); }

    std::size_t in_progress() const { return m_calls.size(); }
    /// Part of the running calls that are repetitions, in [0, 1]; 0 if none runs.
    double repeat_share() const;
    const admission_queue& admission() const { return m_admission; }
    const once_ledger& once() const { return m_once; }

private:
    struct call {
        call_request request;
        answer_callback done;
        time_point received;
        time_point admitted;
        std::optional<once_record_id> record;
        std::shared_ptr<call_context> context;
        std::string token;
        http_call_id exchange = 0;
        bool running = false;
        bool sender_gone = false;
    };

    void on_admitted(const attempt_id& id) override;
    void on_refused(const attempt_id& id, const refusal& why) override;

    std::optional<refusal> check(std::string_view from, const call_request& request);
    bool is_past_leaving() const;
    bool says_not_executed(const http_answer& answer) const;
    void answer_not_executed(call& entry, const http_answer& answer);
    bool begin_once(call& entry);
    void hand_over(call& entry);
    http_request make_upstream_request(const call& entry) const;
    void on_upstream_answer(const attempt_id& id, leaf::result<http_answer> result);
    void answer_ran(call& entry, http_answer answer);
    void answer_failed(call& entry, http_error error);
    void settle_record(call& entry, const call_answer& answer);
    void refuse(call& entry, const refusal& why);
    void finish(call& entry, call_answer answer);
    void end_context(call& entry);
    void note(const call& entry, const call_answer& answer);

    guard_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
    http_client& m_upstream;
    request_observer& m_observer;
    attempt_filter m_filter;
    once_ledger m_once;
    admission_queue m_admission;
    std::unordered_map<attempt_id, call> m_calls;
    std::unordered_map<std::string, std::shared_ptr<call_context>> m_contexts;
    std::optional<time_point> m_leaving_since;
    upstream_status m_upstream_state;
};

} // namespace mulberry
