#pragma once

#include "fakes/nodetimers.h"
#include "libs/base/randomsource.h"
#include "libs/http/httpclient.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace mulberry {

/// Behaviour of a fake upstream. `unreachable`, `lost_response` and `shed` are probabilities per request.
struct upstream_faults {
    duration service_time{20'000};
    /// Probability that the connection cannot be established, so that the request does not run.
    double unreachable = 0;
    /// Probability that the request runs and its response is lost.
    double lost_response = 0;
    /// Probability that the upstream responds with status 503 without running the request.
    double shed = 0;
};

/// Requests that crash the upstream which runs them.
struct crash_trigger {
    std::function<bool(const http_request&)> matches;
    /// Time from the start of the request to the crash.
    duration delay{std::chrono::milliseconds(5)};
    /// Time from the crash until the upstream accepts connections again.
    duration downtime{std::chrono::milliseconds(1500)};
};

/// Simulates an upstream behind the interface of the HTTP client. It responds with the body of the request, and reports
/// each execution to an observer.
class fake_upstream final : public streaming_http_client {
public:
    using run_observer = std::function<void(const http_request&)>;
    using nested_call = std::function<void(const http_request&, std::function<void()> done)>;

    fake_upstream(timer_service& timers, random_source& random) : m_timers(timers), m_random(random) {}

    void set_faults(const upstream_faults& faults) { m_faults = faults; }
    /// Sets the header fields of all later responses.
    void set_response_headers(http_headers headers) { m_response_headers = std::move(headers); }
    /// Sets the observer that is called when a request starts to run.
    void on_run(run_observer observer) { m_observer = std::move(observer); }
    /// Sets the call that a request makes through its node before its own service time. The call has to invoke `done`
    /// to continue the request.
    void set_nested_call(nested_call call) { m_nested_call = std::move(call); }

    void set_crash_trigger(crash_trigger trigger) { m_crash_trigger = std::move(trigger); }
    /// Sets the observer that is called when the upstream accepts connections again after a crash.
    void on_restart(std::function<void()> observer) { m_restart_observer = std::move(observer); }
    /// Loses all connections and refuses new ones for the given time.
    void crash(duration downtime);

    http_call_id send(http_request request, http_callback done) override;
    void cancel(http_call_id id) override;
    http_call_id stream(http_request request, std::function<void(std::string_view)> on_piece,
                        http_callback done) override;

    /// Header fields of the last request that ran.
    const http_headers& last_headers() const { return m_last_headers; }
    /// Number of requests that have neither finished nor been cancelled.
    std::size_t running() const { return m_running.size(); }

private:
    void serve(http_call_id id);
    void finish(http_call_id id, leaf::result<http_response> result);

    struct exchange {
        http_request request;
        http_callback done;
    };

    timer_service& m_timers;
    random_source& m_random;
    upstream_faults m_faults;
    http_headers m_response_headers{{"Content-Type", "text/plain"}};
    run_observer m_observer;
    nested_call m_nested_call;
    crash_trigger m_crash_trigger;
    std::function<void()> m_restart_observer;
    bool m_is_down = false;
    http_headers m_last_headers;
    std::unordered_map<http_call_id, exchange> m_running;
    http_call_id m_last_id = 0;
};

} // namespace mulberry
