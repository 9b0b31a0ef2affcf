#pragma once

#include "libs/base/randomsource.h"
#include "libs/http/httpclient.h"
#include "plugins/admission/admissionqueue.h"
#include "plugins/calls/callcontext.h"
#include "plugins/calls/callresponse.h"
#include "plugins/calls/fieldnames.h"
#include "plugins/calls/requestobserver.h"
#include "plugins/guard/attemptfilter.h"
#include "plugins/guard/crashdetector.h"
#include "plugins/guard/upstreamratetracker.h"
#include "plugins/idempotency/idempotencytable.h"
#include "plugins/quarantine/requestquarantine.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mulberry {

/// How a guard has learned that its upstream is leaving: from a response of the upstream, or from the sender of a call,
/// which had such a response before this node restarted.
enum class leaving_source : std::uint8_t { upstream, sender };

struct guard_settings {
    node_id self;
    std::string service;
    /// Base URL of the upstream, without a trailing slash.
    std::string upstream_url;
    admission_settings admission;
    idempotency_settings idempotency;
    /// Time after begin_leaving during which new calls are still accepted, because their senders may not yet have been
    /// notified.
    duration leaving_grace_period{std::chrono::seconds(2)};
    /// True if the upstream announces itself and may be replaced at run time; see set_upstream.
    bool dynamic_upstream = false;
    /// Share of the announced slots that is used, in (0, 1]. A value below 1 keeps some slots free, because the service
    /// time of every call rises when the upstream is nearly full.
    double usable_slot_share = 1;
    /// Time after the upstream announced that it is leaving during which calls are still forwarded to it.
    duration upstream_leaving_grace_period{std::chrono::seconds(1)};
    field_names fields;
    /// Returns the downstream loads to include in responses: how overloaded the services are that the upstream calls.
    /// If empty, responses contain none.
    std::function<std::vector<downstream_load>()> downstream_report;
    /// Called when the guard learns that its upstream is leaving. May be empty.
    std::function<void(leaving_source)> on_upstream_leaving;
    /// Must outlive the guard. May be null; then requests that crash upstreams are not refused.
    request_quarantine* quarantine = nullptr;
};

/// State of the upstream beside this node, as the upstream announced it.
struct upstream_status {
    bool present = false;
    /// Id of the current run of the upstream process.
    std::string instance;
    std::string service;
    std::uint32_t slots = 0;
    /// When the upstream announced that it is leaving; empty before that.
    std::optional<time_point> leaving_since;
    /// When that run started, in milliseconds since the Unix epoch by the upstream's clock.
    std::int64_t instance_started_ms = 0;
};

/// Handles calls for the upstream beside this node: checks them, queues them for admission, forwards the admitted ones
/// to the upstream and responds to each call exactly once, unless the sender cancels it.
class guard_service final : private admission_listener {
public:
    using response_callback = std::function<void(call_response)>;

    /// The random source generates the context tokens of running calls and must be unpredictable.
    guard_service(guard_settings settings, timer_service& timers, random_source& secure_random, http_client& upstream,
                  request_observer& observer);

    /// Handles a call. `sender_name` is the authenticated name of the sending node.
    void handle(std::string_view sender_name, call_request request, response_callback callback);

    /// Handles a cancel by the sender. A queued call is dropped, and a running idempotent call is cancelled at the
    /// upstream. A running non-idempotent call continues, so that its response can be stored. The sender gets no
    /// response.
    void cancel(const attempt_id& id);

    /// Finds the parent call of a nested call by the context token that the upstream received. Null if no such call is
    /// running.
    std::shared_ptr<call_context> find_context(std::string_view token) const;

    /// Begins the planned stop of this node, which ends at `end`. From now on a call is refused as not run unless its
    /// deadline is before the end.
    void begin_stopping(time_point end) { m_stops_at = end; }

    /// Starts the leaving grace period, after which new calls are refused. Queued and running calls are completed.
    void begin_leaving();

    /// Ends every call in progress with a refusal for this reason. The outcome is "unknown" for running calls and "not
    /// run" for queued ones. Returns the number of calls.
    std::size_t refuse_all(refusal_reason reason);

    /// Applies an announcement of the upstream. Only used with guard_settings::dynamic_upstream.
    void set_upstream(upstream_status status);

    void set_slots(std::uint32_t slots) { m_admission.set_slots(slots); }
    std::uint64_t idempotency_epoch() const { return m_idempotency.epoch(); }

    std::size_t in_progress() const { return m_calls.size(); }
    /// Share of retries among the running calls, in [0, 1]; 0 if no call is running.
    double repeat_share() const;
    /// Requests per second that the upstream accepts, as it names them in its responses; empty if it names no limit.
    std::optional<double> upstream_rate_limit() const { return m_rate.current(); }
    /// Number of crashes of the upstream that this node has recognised.
    std::uint64_t upstream_crashes() const { return m_upstream_crashes; }
    const admission_queue& admission() const { return m_admission; }
    const idempotency_table& idempotency() const { return m_idempotency; }

private:
    struct call {
        call_request request;
        response_callback callback;
        time_point received_at;
        time_point admitted_at;
        std::optional<idempotency_record_id> record;
        std::shared_ptr<call_context> context;
        std::string token;
        http_call_id exchange = 0;
        bool is_running = false;
        bool cancelled_by_sender = false;
    };

    void on_admitted(const attempt_id& id) override;
    void on_refused(const attempt_id& id, const refusal& details) override;

    std::optional<refusal> check(std::string_view sender_name, const call_request& request);
    /// Checks an admitted call again just before it is forwarded.
    std::optional<refusal> check_before_forwarding(const call& entry);
    std::optional<refusal> check_quarantine(const call_request& request) const;
    bool needs_isolation(const call_request& request) const;
    bool is_leaving_grace_over() const;
    bool reports_not_executed(const http_response& response) const;
    void record_notice(const call& entry, const http_response& response);
    void apply_rate_limit();
    void apply_sender_notice(const upstream_notice& notice);
    void report_leaving(leaving_source source);
    void check_crash();
    std::optional<time_point> oldest_running_call() const;
    upstream_notice own_notice() const;
    void respond_not_executed(call& entry, const http_response& response);
    bool apply_idempotency_key(call& entry);
    void forward_to_upstream(call& entry);
    http_request make_upstream_request(const call& entry) const;
    void on_upstream_response(const attempt_id& id, leaf::result<http_response> result);
    void respond_executed(call& entry, http_response response);
    void respond_failed(call& entry, http_error error);
    void complete_record(call& entry, const call_response& response);
    void refuse(call& entry, const refusal& details);
    void finish(call& entry, call_response response);
    void end_context(call& entry);
    void record_decision(const call& entry, const call_response& response);

    guard_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
    http_client& m_upstream;
    request_observer& m_observer;
    attempt_filter m_filter;
    idempotency_table m_idempotency;
    admission_queue m_admission;
    std::unordered_map<attempt_id, call> m_calls;
    std::unordered_map<std::string, std::shared_ptr<call_context>> m_contexts;
    std::optional<time_point> m_leaving_since;
    std::optional<time_point> m_stops_at;
    upstream_status m_upstream_state;
    detail::upstream_rate_tracker m_rate;
    detail::crash_detector m_crashes;
    std::uint64_t m_upstream_crashes = 0;
};

} // namespace mulberry
