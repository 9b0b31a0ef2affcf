#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/timerservice.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace mulberry {

namespace detail {

/// Remembers which of the last sequence numbers of one sender have been seen. Numbers below the window count as seen.
class sequence_window {
public:
    explicit sequence_window(std::size_t size) : m_seen(size, false) {}

    /// True if the number is seen for the first time.
    bool accept(std::uint64_t sequence);

private:
    std::vector<bool> m_seen; // ring over the numbers (m_highest - size, m_highest]
    std::uint64_t m_highest = 0;
};

} // namespace detail

/// Accepts each attempt once, so that a message that arrives twice, or after the cancel that followed it, starts
/// nothing.
class attempt_filter {
public:
    /// Sequence numbers that may overtake each other. A sender has at most about a thousand attempts on their way.
    static constexpr std::size_t window_size = 8192;
    /// A message does not arrive later than this after it was sent, so a silent sender can be forgotten.
    static constexpr duration memory = std::chrono::minutes(10);

    explicit attempt_filter(timer_service& timers) : m_timers(timers) {}

    /// True if the attempt is seen for the first time; it is then marked as seen.
    bool accept(const attempt_id& id);

    std::size_t senders() const { return m_senders.size(); }

private:
    struct sender_state {
        detail::sequence_window window{window_size};
        time_point last_use;
    };

    void forget_silent();

    timer_service& m_timers;
    std::unordered_map<node_id, sender_state> m_senders;
    time_point m_last_sweep;
};

} // namespace mulberry
