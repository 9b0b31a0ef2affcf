#pragma once

#include "plugins/admission/admissionqueue.h"

#include <array>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace mulberry::detail {

struct waiting_request {
    admission_request request;
    time_point since;
};

/// Waiting requests by importance, then by start-time fair queueing between organisations, then by age. A flow is the
/// queue of one organisation at one importance; its tag is the virtual time at which its next request starts.
class fair_queue {
public:
    explicit fair_queue(queue_order order) : m_order(order) {}

    void push(waiting_request item);
    /// The request to serve next.
    std::optional<waiting_request> pop();
    /// Removes a request by its id; empty if it does not wait.
    std::optional<waiting_request> remove(const attempt_id& id);
    /// Removes the request that would be served last: of the lowest importance, of the organisation whose queue ends
    /// latest in virtual time. Empty if nothing waits.
    std::optional<waiting_request> evict();
    /// Removes all requests that are less important than the level.
    std::vector<waiting_request> take_below(importance level);

    /// The request of the importance that has waited longest; null if none waits.
    const waiting_request* oldest(importance level) const;
    /// The lowest importance that waits; critical if nothing waits.
    importance lowest() const;
    std::size_t size() const { return m_index.size(); }
    bool contains(const attempt_id& id) const { return m_index.contains(id); }
    /// Waiting requests of the importance and above.
    std::size_t size_from(importance level) const;

private:
    using ready_key = std::tuple<double, std::uint64_t, std::string_view>;
    struct entry {
        waiting_request item;
        std::list<const waiting_request*>::iterator age;
    };
    struct flow {
        std::list<entry> entries;
        double tag = 0;
        std::uint64_t turn = 0;
    };
    using flow_map = std::map<std::string, flow, std::less<>>;
    struct level_queue {
        flow_map flows;
        /// Flows with waiting requests by tag; equal tags go in the order in which they became ready.
        std::set<ready_key> ready;
        double virtual_time = 0;
        /// All waiting requests of the level in the order of arrival.
        std::list<const waiting_request*> ages;
        std::size_t size = 0;
    };
    struct location {
        std::size_t level;
        flow_map::iterator source;
        std::list<entry>::iterator position;
    };

    waiting_request take(const location& where);
    waiting_request take_last_served(std::size_t level, flow_map::iterator source);

    queue_order m_order;
    std::array<level_queue, all_importances.size()> m_levels;
    std::unordered_map<attempt_id, location> m_index;
    std::uint64_t m_turns = 0;
};

} // namespace mulberry::detail
