#pragma once

#include <cstdint>
#include <map>

namespace mulberry {

/// The number of retries that the call tree of a request may still make at one node and downstream of it. The first
/// attempt of a call does not count; every further attempt takes one from the allowance of the node that sends it.
/// Attempts reserved for different calls are distinct.
class attempt_allowance {
public:
    /// Attempts of the allowance that are reserved for the downstream retries of one call.
    struct attempt_reservation {
        std::uint32_t id = 0;
        std::uint32_t attempts = 0;
    };

    explicit attempt_allowance(std::uint32_t attempts) : m_remaining(attempts), m_total(attempts) {}

    /// Takes one attempt for a retry by this node. Returns false if none remain.
    bool take();
    /// Reserves attempts for a call, at most the remaining ones.
    attempt_reservation reserve_attempts(std::uint32_t attempts);
    /// Ends a reservation and returns its unused attempts to the allowance. If the reservation is unknown or was
    /// already ended, or if `unused` exceeds it, the call violates `attempts_bounded`, returns false and adds nothing.
    /// The reservation of a call whose response was lost is never returned.
    bool return_unused(std::uint32_t reservation_id, std::uint32_t unused);

    std::uint32_t remaining() const { return m_remaining; }
    /// Number of attempts to reserve for a call by default: half of the remaining attempts, rounded up, so that the
    /// loss of one response does not use up all retries.
    std::uint32_t default_reservation() const { return m_remaining - m_remaining / 2; }

private:
    std::uint32_t m_remaining;
    std::uint32_t m_total;
    std::uint32_t m_spent = 0;
    std::uint32_t m_last_reservation_id = 0;
    std::map<std::uint32_t, std::uint32_t> m_reservations;
};

} // namespace mulberry
