#include "tools/standinupstream/upstreamserver.h"

#include <thread>

#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

using nlohmann::json;

constexpr std::string_view context_header = "Mulberry-Context";
constexpr std::size_t max_reported_bodies = 1000;
constexpr std::chrono::milliseconds drain_check_period{5};

standin_response text_response(int status, std::string text)
{
    standin_response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = std::move(text);
    return response;
}

/// Returns the status with which a service responds after a nested call has failed with the given status.
int status_for_nested_failure(int nested_status)
{
    switch (nested_status) {
    case 429:
    case 503:
        return 503;
    case 504:
        return 504;
    default:
        return 502;
    }
}

} // namespace

upstream_server::upstream_server(const upstream_settings& settings, std::function<void()> on_drain)
    : m_settings(settings), m_on_drain(std::move(on_drain)), m_start_time(std::chrono::steady_clock::now()),
      m_behaviour(settings.behaviour), m_random(settings.seed), m_slots(settings.slots),
      m_nested_caller("", settings.nested_timeout),
      m_server([this](const standin_request& request) { return handle(request); })
{
}

std::uint16_t upstream_server::start()
{
    m_start_time = std::chrono::steady_clock::now();
    return m_server.start(m_settings.address, m_settings.port);
}

void upstream_server::begin_drain()
{
    m_draining = true;
}

bool upstream_server::drain_and_stop()
{
    begin_drain();
    m_server.stop_accepting();
    const auto deadline = std::chrono::steady_clock::now() + m_settings.drain_limit;
    while (m_server.requests_in_progress() > 0 && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(drain_check_period);
    const bool all_completed = m_server.requests_in_progress() == 0;
    // Stopping the server waits for running handlers, which would delay the exit of the process by the remaining
    // latency of the requests that exceed the limit.
    if (all_completed)
        m_server.stop();
    return all_completed;
}

upstream_behaviour upstream_server::behaviour() const
{
    const std::lock_guard lock(m_mutex);
    return m_behaviour;
}

double upstream_server::random_unit()
{
    const std::lock_guard lock(m_mutex);
    return m_random.uniform_real();
}

duration upstream_server::latency_of(const upstream_behaviour& behaviour)
{
    double factor = 1 + behaviour.spread * (2 * random_unit() - 1);
    const auto age = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - m_start_time);
    if (age < m_settings.cold_start) {
        const double progress = to_seconds(age) / to_seconds(m_settings.cold_start);
        factor *= m_settings.cold_factor + (1 - m_settings.cold_factor) * progress;
    }
    return from_seconds(to_seconds(behaviour.latency) * factor);
}

standin_response upstream_server::handle(const standin_request& request)
{
    if (auto response = handle_control_path(request))
        return std::move(*response);
    if (!request.header("Authorization").empty())
        ++m_counters.authorization_seen;
    if (request.header(context_header).empty())
        ++m_counters.without_context;
    if (m_draining) {
        ++m_counters.refused_draining;
        standin_response response = text_response(503, "The instance is draining.\n");
        response.headers.emplace_back("Connection", "close");
        return response;
    }
    return run(request);
}

std::optional<standin_response> upstream_server::handle_control_path(const standin_request& request)
{
    if (request.path == "/stats")
        return stats();
    if (request.path == "/stats/runs")
        return json_response(200, json{{"runs", m_runs.runs_of(request.query)}}.dump());
    if (request.path == "/health")
        return health();
    if (request.path == "/load")
        return load();
    if (request.path == "/drain" && request.method == "POST") {
        if (!m_draining.exchange(true))
            m_on_drain();
        return text_response(202, "Draining.\n");
    }
    if (request.path == "/settings" && request.method == "POST") {
        const std::lock_guard lock(m_mutex);
        const std::string error = change_behaviour(m_behaviour, request.body);
        return error.empty() ? text_response(200, "Changed.\n") : text_response(400, error + "\n");
    }
    return std::nullopt;
}

standin_response upstream_server::run(const standin_request& request)
{
    const upstream_behaviour current = behaviour();
    const scoped_slot slot(m_slots, !current.refuse_when_full);
    if (!slot) {
        ++m_counters.refused_full;
        return text_response(503, "All slots are in use.\n");
    }
    ++m_counters.runs;
    m_runs.add(request.body);
    return run_in_slot(request, behaviour());
}

standin_response upstream_server::run_in_slot(const standin_request& request, const upstream_behaviour& behaviour)
{
    std::this_thread::sleep_for(latency_of(behaviour));
    if (random_unit() < behaviour.failure_rate) {
        ++m_counters.failed;
        return text_response(behaviour.failure_status, "The request failed as set.\n");
    }
    if (auto nested_failure = call_nested(request, behaviour)) {
        ++m_counters.failed;
        return std::move(*nested_failure);
    }
    standin_response response;
    response.headers.emplace_back("Content-Type", "application/octet-stream");
    response.body = request.body;
    return response;
}

std::optional<standin_response> upstream_server::call_nested(const standin_request& request,
                                                             const upstream_behaviour& behaviour)
{
    const http_headers headers{{std::string(context_header), std::string(request.header(context_header))}};
    for (const nested_call& call : behaviour.nested) {
        ++m_counters.nested_calls;
        const auto response =
            m_nested_caller.call(call.method, behaviour.daemon_url + call.path, headers, request.body);
        if (response && response->status >= 200 && response->status < 300)
            continue;
        ++m_counters.nested_failed;
        return text_response(response ? status_for_nested_failure(response->status) : 502, "A nested call failed.\n");
    }
    return std::nullopt;
}

standin_response upstream_server::health() const
{
    const health_mode mode = behaviour().health;
    const bool healthy = mode == health_mode::always_healthy || (mode == health_mode::honest && !m_draining);
    return healthy ? text_response(200, "healthy\n") : text_response(503, "failing\n");
}

standin_response upstream_server::load() const
{
    return json_response(
        200, json{{"slots", m_settings.slots}, {"busy", m_slots.busy()}, {"waiting", m_slots.waiting()}}.dump());
}

standin_response upstream_server::stats() const
{
    json repeated = json::object();
    for (const auto& [body, runs] : m_runs.repeated_bodies(max_reported_bodies))
        repeated[body] = runs;
    const json content{{"runs", m_counters.runs.load()},
                       {"failed", m_counters.failed.load()},
                       {"refused_full", m_counters.refused_full.load()},
                       {"refused_draining", m_counters.refused_draining.load()},
                       {"nested_calls", m_counters.nested_calls.load()},
                       {"nested_failed", m_counters.nested_failed.load()},
                       {"authorization_seen", m_counters.authorization_seen.load()},
                       {"without_context", m_counters.without_context.load()},
                       {"busy", m_slots.busy()},
                       {"waiting", m_slots.waiting()},
                       {"peak_busy", m_slots.peak_busy()},
                       {"distinct_bodies", m_runs.distinct_bodies()},
                       {"repeated_bodies", repeated},
                       {"draining", m_draining.load()}};
    return json_response(200, content.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace mulberry
