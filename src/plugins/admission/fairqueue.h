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
    time_point waiting_since;
};

/// Queue of waiting requests, ordered by importance, then by start-time fair queueing between organisations, then by
/// age. A flow is the queue of one organisation at one importance; its tag is the virtual start time of its next
/// request.
class fair_queue {
public:
    explicit fair_queue(queue_order order) : m_order(order) {}

    void push(waiting_request item);
    /// Removes the request to admit next; empty if nothing waits.
    std::optional<waiting_request> pop();
    /// Removes a request by its id; empty if it is not in the queue.
    std::optional<waiting_request> remove(const attempt_id& id);
    /// Removes the request that would be admitted last: the one of the lowest importance, from the organisation whose
    /// queue ends latest in virtual time. Empty if nothing waits.
    std::optional<waiting_request> evict();
    /// Removes all requests that are less important than this level.
    std::vector<waiting_request> take_less_important(importance level);

    /// The request of this importance that has waited longest; null if none waits.
    const waiting_request* oldest(importance level) const;
    /// The lowest importance among the waiting requests; critical if nothing waits.
    importance lowest_importance() const;
    std::size_t size() const { return m_index.size(); }
    bool contains(const attempt_id& id) const { return m_index.contains(id); }
    /// Number of waiting requests of this importance and above.
    std::size_t size_at_or_above(importance level) const;

private:
    using ready_key = std::tuple<double, std::uint64_t, std::string_view>;
    struct entry {
        waiting_request item;
        std::list<const waiting_request*>::iterator age_position;
    };
    struct flow {
        std::list<entry> entries;
        double tag = 0;
        std::uint64_t ready_order = 0;
    };
    using flow_map = std::map<std::string, flow, std::less<>>;
    struct level_queue {
        flow_map flows;
        /// Flows with waiting requests, ordered by tag. Flows with equal tags are ordered by when they became ready.
        std::set<ready_key> ready;
        double virtual_time = 0;
        /// All waiting requests of the level in the order in which they were added.
        std::list<const waiting_request*> requests_by_age;
        std::size_t size = 0;
    };
    struct location {
        std::size_t level;
        flow_map::iterator source;
        std::list<entry>::iterator position;
    };

    waiting_request take(const location& position_in_queue);
    waiting_request take_last_admitted(std::size_t level, flow_map::iterator source);

    queue_order m_order;
    std::array<level_queue, all_importances.size()> m_levels;
    std::unordered_map<attempt_id, location> m_index;
    std::uint64_t m_last_ready_order = 0;
};

} // namespace mulberry::detail
