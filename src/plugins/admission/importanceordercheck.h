#pragma once

#include "libs/base/importance.h"

#include <array>
#include <cstddef>

namespace mulberry::detail {

/// Checks the invariant `importance_order` with its own count of the waiting requests, independently of the queue's
/// order. Requests of the same importance may be admitted and shed in any order, since fairness decides among them.
class importance_order_check {
public:
    void on_enqueued(importance level) { ++count(level); }
    void on_removed(importance level) { --count(level); }

    /// Call this for a request that was removed to be admitted. Returns false if a more important request still waits.
    bool check_admission(importance level) const;
    /// Call this for a request that was removed to be shed because of load. Returns false if a less important request
    /// still waits.
    bool check_shedding(importance level) const;

private:
    std::size_t& count(importance level) { return m_waiting[static_cast<std::size_t>(level)]; }

    std::array<std::size_t, all_importances.size()> m_waiting{};
};

} // namespace mulberry::detail
