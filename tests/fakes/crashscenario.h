#pragma once

#include "libs/base/time.h"
#include "libs/http/httpclient.h"
#include "plugins/entry/callerrequest.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Sends requests with a chosen content to the nodes of a fleet in turn, and records when upstreams start the one that
/// crashes them. `Fleet` is the test fleet of either kind of node.
template <typename Fleet>
class crash_scenario {
public:
    /// Path end and body of the request that crashes upstreams.
    static constexpr std::string_view crashing_content = "crash";
    /// Time after the third crash from which the crashing request may reach upstreams at most three more times.
    static constexpr duration stable_window = std::chrono::seconds(3);

    /// `make_request` returns a request with the given content.
    crash_scenario(Fleet& fleet, std::function<caller_request(const std::string& content)> make_request)
        : m_fleet(fleet), m_make_request(std::move(make_request))
    {
        fleet.crashing_requests.matches = [](const http_request& request) {
            return request.url.find(crashing_content) != std::string::npos;
        };
    }

    /// Records the start of a request at an upstream.
    void record_run(const http_request& request)
    {
        if (m_fleet.crashing_requests.matches(request))
            m_crashing_runs.push_back(m_fleet.timers().now());
    }

    /// Sends a request with this content to a node and records its status.
    void send(const std::string& node, const std::string& content)
    {
        m_fleet.send(node, m_make_request(content),
                     [this](const caller_response& response) { m_statuses.push_back(response.status); });
    }

    /// Sends the crashing request to one node after the other, one per `period`.
    void send_crashing_requests(duration length, duration period)
    {
        const std::vector<std::string> nodes = m_fleet.names();
        const time_point end = m_fleet.timers().now() + length;
        for (std::size_t i = 0; m_fleet.timers().now() < end; ++i) {
            send(nodes[i % nodes.size()], std::string(crashing_content));
            m_fleet.run(period);
        }
    }

    /// Sends requests with these contents to one node after the other, all of them once per `period`, and crashes every
    /// `crash_period` all upstreams at once for reasons of their own.
    void send_beside_crashes(const std::vector<std::string>& contents, duration length, duration period,
                             duration crash_period)
    {
        const std::vector<std::string> nodes = m_fleet.names();
        const time_point end = m_fleet.timers().now() + length;
        time_point next_crash = m_fleet.timers().now() + crash_period;
        for (std::size_t i = 0; m_fleet.timers().now() < end; ++i) {
            for (const std::string& content : contents)
                send(nodes[i % nodes.size()], content);
            m_fleet.run(period);
            if (m_fleet.timers().now() < next_crash)
                continue;
            next_crash += crash_period;
            for (const std::string& node : nodes)
                m_fleet.upstream(node).crash(m_fleet.crashing_requests.downtime);
        }
    }

    /// Sends each content once to every node, one after the other, and returns how many of the responses have another
    /// status than 200.
    std::size_t count_unserved(const std::vector<std::string>& contents)
    {
        m_statuses.clear();
        std::size_t sent = 0;
        for (const std::string& node : m_fleet.names()) {
            for (const std::string& content : contents) {
                send(node, content);
                m_fleet.run(std::chrono::milliseconds(100));
                ++sent;
            }
        }
        m_fleet.run(std::chrono::seconds(3));
        const auto served = std::ranges::count(m_statuses, 200);
        return sent - static_cast<std::size_t>(served);
    }

    std::size_t crashing_runs() const { return m_crashing_runs.size(); }
    /// Number of times that the crashing request reached an upstream later than the stable window after its third
    /// crash.
    std::size_t runs_after_third_crash() const
    {
        if (m_crashing_runs.size() < 3)
            return 0;
        const time_point limit = m_crashing_runs[2] + m_fleet.crashing_requests.delay + stable_window;
        std::size_t count = 0;
        for (const time_point run : m_crashing_runs)
            count += run > limit ? 1 : 0;
        return count;
    }

    /// Status of each response, in the order of their arrival.
    const std::vector<int>& statuses() const { return m_statuses; }
    void clear_statuses() { m_statuses.clear(); }

private:
    Fleet& m_fleet;
    std::function<caller_request(const std::string&)> m_make_request;
    std::vector<time_point> m_crashing_runs;
    std::vector<int> m_statuses;
};

} // namespace mulberry
