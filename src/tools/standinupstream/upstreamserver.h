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

/// A service instance for tests and measurements.
///
/// Its own paths, which no request is counted for: GET /stats (counters as JSON), GET /stats/runs with the body as the
/// query (number of runs of that body), GET /health, GET /load (slots in use and waiting requests), POST /settings
/// (JSON with members of upstream_behaviour), POST /drain. Every other request takes a slot, waits for its latency,
/// makes its nested calls one after the other and answers 200 with the request's body.
class upstream_server {
public:
    /// on_drain is called on a thread of the server when a drain is first asked for over HTTP.
    upstream_server(const upstream_settings& settings, std::function<void()> on_drain);

    /// Returns the port.
    std::uint16_t start();

    /// From now on requests get 503 and their connection is closed; those that run are finished.
    void begin_drain();

    /// Waits for running requests up to the drain limit and stops. False if the limit cut requests.
    bool finish();

private:
    struct counters {
        std::atomic<std::uint64_t> runs = 0;
        std::atomic<std::uint64_t> failed = 0;
        std::atomic<std::uint64_t> refused_full = 0;
        std::atomic<std::uint64_t> refused_draining = 0;
        std::atomic<std::uint64_t> nested_calls = 0;
        std::atomic<std::uint64_t> nested_failed = 0;
        /// Requests that carried an Authorization header, which no upstream may see.
        std::atomic<std::uint64_t> authorization_seen = 0;
        std::atomic<std::uint64_t> without_context = 0;
    };

    standin_answer handle(const standin_request& request);
    std::optional<standin_answer> handle_own_path(const standin_request& request);
    standin_answer run(const standin_request& request);
    standin_answer run_in_slot(const standin_request& request, const upstream_behaviour& behaviour);
    std::optional<standin_answer> call_nested(const standin_request& request, const upstream_behaviour& behaviour);
    duration latency_of(const upstream_behaviour& behaviour);
    double random_unit();
    upstream_behaviour behaviour() const;
    standin_answer health() const;
    standin_answer stats() const;
    standin_answer load() const;

    upstream_settings m_settings;
    std::function<void()> m_on_drain;
    std::chrono::steady_clock::time_point m_started;
    mutable std::mutex m_mutex;
    upstream_behaviour m_behaviour;
    seeded_random_source m_random;
    slot_pool m_slots;
    run_counter m_runs;
    http_caller m_nested;
    counters m_counters;
    std::atomic<bool> m_draining = false;
    standin_server m_server;
};

} // namespace mulberry
