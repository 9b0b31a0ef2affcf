#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "plugins/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace mulberry {

struct relay_selector_settings {
    /// Number of nodes of a failure domain for which one of them reads the store. Bounds the polls that a relay has to
    /// answer, while the calls to the store grow with the number of domains rather than of nodes.
    std::size_t nodes_per_relay = 16;
    /// Time for which a relay that failed is not chosen, before jitter.
    duration failure_time{std::chrono::seconds(3)};
    /// The same for a relay whose copy is too old or missing. It is shorter, because a relay that has lost its own
    /// source or has just started finds one soon.
    duration stale_time{std::chrono::milliseconds(500)};
};

/// Why a relay is passed over.
enum class relay_failure : std::uint8_t { unreachable, no_response, malformed_response, no_copy, stale_copy };

std::string_view to_string(relay_failure failure);

/// Decides from which node this node receives the changes of the store. The first nodes of a failure domain by name
/// read the store themselves and are the relays of the others. There is no election: each node passes over the relays
/// that failed it, and reads the store itself if no node before it is left.
class relay_selector {
public:
    relay_selector(const relay_selector_settings& settings, std::string own_name, node_location own_location,
                   const timer_service& timers, random_source& random);

    /// Returns the name of the relay, or nothing if this node has to read the store itself.
    std::optional<std::string> choose(std::span<const member> members);
    /// Passes over a relay for a while. The own name stands for the own reads of the store.
    void on_failed(std::string_view relay, relay_failure failure);

private:
    bool is_candidate(const member& node) const;

    relay_selector_settings m_settings;
    std::string m_own_name;
    node_location m_own_location;
    const timer_service& m_timers;
    random_source& m_random;
    std::map<std::string, time_point, std::less<>> m_failed_until;
};

} // namespace mulberry
