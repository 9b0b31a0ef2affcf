#pragma once

#include "libs/base/importance.h"

#include <array>
#include <cstddef>

namespace mulberry::detail {

/// Asserts the invariant `importance_order` by its own count of the waiting requests, independent of the queue's order.
/// Fairness decides only among requests of the same importance, so equal standing needs no further condition.
class importance_order_check {
public:
    void enqueued(importance level) { ++count(level); }
    void removed(importance level) { --count(level); }

    /// Call for a request that was removed to be admitted. False if a more important request still waits.
    bool admitting(importance level) const;
    /// Call for a request that was removed to be shed because of load. False if a less important request still waits.
    bool shedding(importance level) const;

private:
    std::size_t& count(importance level) { return m_waiting[static_cast<std::size_t>(level)]; }

    std::array<std::size_t, all_importances.size()> m_waiting{};
};

} // namespace mulberry::detail
