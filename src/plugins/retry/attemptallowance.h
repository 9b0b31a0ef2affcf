#pragma once

#include <cstdint>
#include <map>

namespace mulberry {

/// Retries that a request tree may still make at and below one node. The first attempt of a call is free; every further
/// attempt takes one from the allowance of the node that sends it. Parts lent to different calls are distinct.
class attempt_allowance {
public:
    /// A part of the allowance that travels with one call.
    struct loan {
        std::uint32_t id = 0;
        std::uint32_t attempts = 0;
    };

    explicit attempt_allowance(std::uint32_t attempts) : m_remaining(attempts), m_total(attempts) {}

    /// Takes one attempt for a retry by this node; false if none remain.
    bool take();
    /// Sets a part aside for a call, at most what remains.
    loan lend(std::uint32_t part);
    /// Takes the unused part of a loan back, once. A part that is larger than the loan or a loan that is unknown or was
    /// returned before violates `attempts_bounded` and gives nothing back. A lost answer is never given back.
    bool give_back(std::uint32_t loan_id, std::uint32_t unused);

    std::uint32_t remaining() const { return m_remaining; }
    /// What a call should carry by default: half of the rest, rounded up, so that one lost answer does not end all
    /// retries.
    std::uint32_t part_to_lend() const { return m_remaining - m_remaining / 2; }

private:
    std::uint32_t m_remaining;
    std::uint32_t m_total;
    std::uint32_t m_spent = 0;
    std::uint32_t m_last_loan = 0;
    std::map<std::uint32_t, std::uint32_t> m_loans;
};

} // namespace mulberry
