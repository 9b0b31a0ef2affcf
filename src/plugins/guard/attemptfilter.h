#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/timerservice.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace mulberry {

namespace detail {

/// Records which of the most recent sequence numbers of one sender have been seen. Numbers older than the window count
/// as seen.
class sequence_window {
public:
    explicit sequence_window(std::size_t size) : m_seen(size, false) {}

    /// Marks the number as seen. Returns true if it had not been seen before.
    bool accept(std::uint64_t sequence);

private:
    std::vector<bool> m_seen; // ring buffer over the numbers (m_highest - size, m_highest]
    std::uint64_t m_highest = 0;
};

} // namespace detail

/// Accepts each attempt once, so that a call message that is delivered twice, or after its own cancel message, does not
/// start the request again.
class attempt_filter {
public:
    /// Number of sequence numbers tracked per sender, and so how far messages may be reordered. A sender has at most
    /// about a thousand attempts in flight.
    static constexpr std::size_t window_size = 8192;
    /// Time after the last message of a sender until its state is removed. No message is delivered later than this
    /// after it was sent.
    static constexpr duration sender_retention = std::chrono::minutes(10);

    explicit attempt_filter(timer_service& timers) : m_timers(timers) {}

    /// Marks the attempt as seen. Returns true if it had not been seen before.
    bool accept(const attempt_id& id);

    std::size_t sender_count() const { return m_senders.size(); }

private:
    struct sender_state {
        detail::sequence_window window{window_size};
        time_point last_use;
    };

    void remove_idle_senders();

    timer_service& m_timers;
    std::unordered_map<node_id, sender_state> m_senders;
    time_point m_last_sweep;
};

} // namespace mulberry
