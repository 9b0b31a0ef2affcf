#pragma once

#include "libs/base/randomsource.h"
#include "tools/httpcaller/httpcaller.h"
#include "tools/standincommon/standinserver.h"
#include "tools/standinupstream/runcounter.h"
#include "tools/standinupstream/slotpool.h"
#include "tools/standinupstream/upstreamsettings.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>

namespace mulberry {

/// Simulated service instance for tests and measurements.
///
/// Control paths, whose requests are not counted: GET /stats (counters as JSON), GET /stats/runs with a request body as
/// the query (number of runs of that body), GET /health, GET /load (slots in use and waiting requests), POST /settings
/// (JSON with members of upstream_behaviour), POST /drain. Every other request acquires a slot, waits for its latency,
/// makes its nested calls one after the other and gets a 200 response with its own body.
class upstream_server {
public:
    /// on_drain is called on a thread of the server when the first POST /drain is received.
    upstream_server(const upstream_settings& settings, std::function<void()> on_drain);

    /// Listens on the address and port of the settings and returns the port. Throws std::system_error.
    std::uint16_t start();

    /// Responds to new requests with 503 and closes their connection; running requests are completed.
    void begin_drain();

    /// Begins a drain, waits for running requests up to the drain limit and stops the server. Returns false if requests
    /// are still running at the limit; the server is not stopped then.
    bool drain_and_stop();

private:
    struct counters {
        std::atomic<std::uint64_t> runs = 0;
        std::atomic<std::uint64_t> failed = 0;
        std::atomic<std::uint64_t> refused_full = 0;
        std::atomic<std::uint64_t> refused_draining = 0;
        std::atomic<std::uint64_t> nested_calls = 0;
        std::atomic<std::uint64_t> nested_failed = 0;
        /// Requests with an Authorization header, which must not reach an upstream.
        std::atomic<std::uint64_t> authorization_seen = 0;
        /// Requests without the context header, which the daemon needs to assign nested calls to their request.
        std::atomic<std::uint64_t> without_context = 0;
    };

    standin_response handle(const standin_request& request);
    /// Responds to a request for a control path; unset for any other request.
    std::optional<standin_response> handle_control_path(const standin_request& request);
    standin_response run(const standin_request& request);
    standin_response run_in_slot(const standin_request& request, const upstream_behaviour& behaviour);
    /// Makes the nested calls. Returns the error response of the request if one of them fails.
    std::optional<standin_response> call_nested(const standin_request& request, const upstream_behaviour& behaviour);
    duration latency_of(const upstream_behaviour& behaviour);
    /// Returns a uniform random number in [0, 1).
    double random_unit();
    upstream_behaviour behaviour() const;
    standin_response health() const;
    standin_response stats() const;
    standin_response load() const;

    upstream_settings m_settings;
    std::function<void()> m_on_drain;
    std::chrono::steady_clock::time_point m_start_time;
    mutable std::mutex m_mutex;
    upstream_behaviour m_behaviour;
    seeded_random_source m_random;
    slot_pool m_slots;
    run_counter m_runs;
    http_caller m_nested_caller;
    counters m_counters;
    std::atomic<bool> m_draining = false;
    standin_server m_server;
};

} // namespace mulberry
