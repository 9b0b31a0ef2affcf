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

/// An upstream as listed by the membership. The name is that of the node beside it, unique in the fleet.
struct upstream_info {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string service;
    node_location location;
    upstream_state state = upstream_state::serving;
    /// Time at which it began to serve, on the local monotonic clock.
    time_point serving_since;
    /// Announced maximum number of concurrent calls, used until a response reports the current limit. 0 if unknown.
    std::uint32_t concurrency_limit = 0;
};

struct routing_settings {
    /// Number of upstreams of a service among which a node distributes its calls.
    std::size_t subset_size = 8;
    /// Added to the latency of an upstream of another failure domain when it is compared with one of the own domain.
    /// Twice the one-way latency between the domains.
    duration cross_domain_latency{3'000};
    /// Minimum reduction of the expected latency for which a call goes to another region. Twice the one-way latency
    /// between the regions.
    duration min_cross_region_gain{40'000};
    /// Capacity of the link to another region, divided evenly between the nodes of the own region.
    double link_bytes_per_second = 30e6 / 8;
    /// Fraction of the link that is reserved for control traffic.
    double link_control_share = 0.2;
    /// Time over which an upstream that has begun to serve reaches its full share of calls.
    duration ramp_duration{10'000'000};
    /// Number of consecutive failures after which an upstream is ejected.
    std::uint32_t ejection_failures = 5;
    /// Duration of the first ejection; doubles with each further one up to max_ejection.
    duration initial_ejection{1'000'000};
    duration max_ejection{30'000'000};
};

struct routing_context {
    /// Names of the upstreams at which attempts of this call failed.
    std::span<const std::string> excluded_upstreams;
    /// Size of the request with its headers.
    std::uint64_t request_bytes = 0;
};

/// Chooses the upstream of a call based on this node's own observations. For every chosen upstream to which a call is
/// sent, call on_sent and then exactly one of `on_response`, on_refused, on_failed and on_abandoned.
class upstream_selector {
public:
    upstream_selector(routing_settings settings, std::string own_name, node_location own_location,
                      timer_service& timers, random_source& random);
    upstream_selector(const upstream_selector&) = delete;
    upstream_selector& operator=(const upstream_selector&) = delete;
    ~upstream_selector();

    /// Replaces the list of all upstreams. The observations of an upstream remain as long as its incarnation is the
    /// same.
    void update(std::span<const upstream_info> upstreams);
    /// Name of the upstream for the call; empty if the service has no serving upstream that is not excluded.
    std::optional<std::string> choose(std::string_view service, const routing_context& context);

    void on_sent(std::string_view upstream, std::uint64_t request_bytes);
    /// The upstream responded, with any status.
    void on_response(std::string_view upstream, duration latency, const load_report& report,
                     std::uint64_t response_bytes);
    /// The guard refused the call as "not run".
    void on_refused(std::string_view upstream);
    /// There was no response, or the upstream failed.
    void on_failed(std::string_view upstream);
    /// The call was cancelled. It counts neither as a response nor as a failure.
    void on_abandoned(std::string_view upstream);

    /// Names of the upstreams in the subset of a service, for the status page.
    std::vector<std::string> subset(std::string_view service) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
