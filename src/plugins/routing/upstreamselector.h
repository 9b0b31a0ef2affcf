#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "plugins/admission/loadreport.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

enum class upstream_state : std::uint8_t { starting, serving, leaving, dead };

/// An upstream as membership knows it. The name is the node's name, unique in the fleet.
struct upstream_info {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string service;
    node_location location;
    upstream_state state = upstream_state::serving;
    /// When it began to serve, on the local monotonic clock.
    time_point serving_since;
    /// Calls that it is said to take at once; counts until an answer carries its limit. 0 if not known.
    std::uint32_t concurrency_limit = 0;
};

struct routing_settings {
    std::size_t subset_size = 8;
    /// Assumed on top of the typical latency for an upstream of another failure domain without recent answers: twice
    /// the one-way latency between them.
    duration domain_gain{3'000};
    /// Expected gain that justifies the other region; twice the one-way latency between the regions.
    duration region_gain{40'000};
    /// Capacity of the link to another region, shared evenly by the nodes of the own region.
    double link_bytes_per_second = 30e6 / 8;
    /// Part of the link that requests leave to control traffic.
    double link_control_share = 0.2;
    duration ramp{10'000'000};
    /// Failures in a row after which an upstream is left out.
    std::uint32_t ejection_failures = 5;
    /// First time for which it is left out; doubles up to longest_ejection.
    duration first_ejection{1'000'000};
    duration longest_ejection{30'000'000};
};

struct routing_context {
    /// Names of the upstreams at which attempts of this call failed.
    std::span<const std::string> excluded;
    /// Size of the request with its headers.
    std::uint64_t request_bytes = 0;
};

/// Chooses the upstream of a call by this node's own observations. Every chosen upstream that is used gets on_sent and
/// then exactly one of on_answer, on_refused, on_failed and on_abandoned.
class upstream_selector {
public:
    upstream_selector(routing_settings settings, std::string own_name, node_location own_location,
                      timer_service& timers, random_source& random);
    upstream_selector(const upstream_selector&) = delete;
    upstream_selector& operator=(const upstream_selector&) = delete;
    ~upstream_selector();

    /// Replaces the list of all upstreams. Observations of an upstream last as long as its incarnation.
    void update(std::span<const upstream_info> upstreams);
    /// Empty if the service has no serving upstream that is not excluded.
    std::optional<std::string> choose(std::string_view service, const routing_context& context);

    void on_sent(std::string_view upstream, std::uint64_t request_bytes);
    /// An answer of the upstream, whatever its status.
    void on_answer(std::string_view upstream, duration latency, const load_report& report, std::uint64_t answer_bytes);
    /// The guard refused the call as "not run".
    void on_refused(std::string_view upstream);
    /// No answer, or the upstream failed.
    void on_failed(std::string_view upstream);
    /// The call was cancelled; nothing is learned from it.
    void on_abandoned(std::string_view upstream);

    /// Names of the subset used for a service, for the status page.
    std::vector<std::string> subset(std::string_view service) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
