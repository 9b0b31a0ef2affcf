#include "plugins/storerelay/relayselector.h"

#include "libs/base/jitter.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace mulberry {

std::string_view to_string(relay_failure failure)
{
    switch (failure) {
    case relay_failure::unreachable:
        return "it is not reachable";
    case relay_failure::no_response:
        return "it does not respond";
    case relay_failure::malformed_response:
        return "its response is malformed";
    case relay_failure::no_copy:
        return "it has no copy yet";
    case relay_failure::stale_copy:
        return "its copy is too old";
    }
    return "unknown";
}

relay_selector::relay_selector(const relay_selector_settings& settings, std::string own_name,
                               node_location own_location, const timer_service& timers, random_source& random)
    : m_settings(settings), m_own_name(std::move(own_name)), m_own_location(std::move(own_location)), m_timers(timers),
      m_random(random)
{
}

bool relay_selector::is_candidate(const member& node) const
{
    const bool is_running = node.state == member_state::starting || node.state == member_state::serving;
    return is_running && node.location == m_own_location && !m_failed_until.contains(node.id.name);
}

std::optional<std::string> relay_selector::choose(std::span<const member> members)
{
    std::erase_if(m_failed_until, [now = m_timers.now()](const auto& entry) { return entry.second <= now; });
    std::vector<std::string_view> candidates;
    for (const member& node : members) {
        if (is_candidate(node))
            candidates.push_back(node.id.name);
    }
    // Before the own entry is listed, two nodes that pass over themselves would choose each other.
    const bool is_listed =
        std::ranges::any_of(members, [this](const member& node) { return node.id.name == m_own_name; });
    if (!is_listed && !m_failed_until.contains(m_own_name))
        candidates.push_back(m_own_name);
    if (candidates.empty())
        return std::nullopt;
    const std::size_t relays = (candidates.size() + m_settings.nodes_per_relay - 1) / m_settings.nodes_per_relay;
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(relays));
    candidates.resize(relays);
    if (std::ranges::find(candidates, m_own_name) != candidates.end())
        return std::nullopt;
    return std::string(candidates[XXH3_64bits(m_own_name.data(), m_own_name.size()) % relays]);
}

void relay_selector::on_failed(std::string_view relay, relay_failure failure)
{
    const bool recovers_soon = failure == relay_failure::stale_copy || failure == relay_failure::no_copy;
    const duration time = recovers_soon ? m_settings.stale_time : m_settings.failure_time;
    m_failed_until.insert_or_assign(std::string(relay), m_timers.now() + with_jitter(time, m_random));
}

} // namespace mulberry
