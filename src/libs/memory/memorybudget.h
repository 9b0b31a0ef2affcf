#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace mulberry {

/// Gives memory back when a budget runs short, for example by closing a connection whose caller has stopped reading.
class memory_reclaimer {
public:
    memory_reclaimer() = default;
    memory_reclaimer(const memory_reclaimer&) = delete;
    memory_reclaimer& operator=(const memory_reclaimer&) = delete;
    virtual ~memory_reclaimer() = default;

    /// Releases some reservations. Returns false if there is nothing to release. Called within a reservation of another
    /// part, so it must not call out of its own part.
    virtual bool reclaim() = 0;
};

/// Limit of the memory that a process uses for messages that are being received, wait or have not been read by their
/// receivers. Messages up to `small_message_bytes` may use the whole budget, larger ones only `large_message_share` of
/// it, so that long messages cannot crowd out ordinary ones.
class memory_budget {
public:
    static constexpr std::size_t small_message_bytes = std::size_t{64} * 1024;
    static constexpr double large_message_share = 0.75;

    explicit memory_budget(std::size_t limit_bytes) : m_limit(limit_bytes) {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// The reclaimers are asked in the order in which they were added.
    void add_reclaimer(std::weak_ptr<memory_reclaimer> reclaimer) { m_reclaimers.push_back(std::move(reclaimer)); }

    std::size_t in_use() const { return m_in_use; }
    /// Number of reservations that failed.
    std::uint64_t refused() const { return m_refused; }
    /// Number of times that a reclaimer released memory.
    std::uint64_t reclaimed() const { return m_reclaimed; }

private:
    friend class memory_reservation;

    /// Reserves `additional` bytes for a message that then holds `total` bytes.
    bool reserve(std::size_t additional, std::size_t total);
    void release(std::size_t bytes) { m_in_use -= bytes; }
    bool reclaim();

    std::size_t m_limit;
    std::size_t m_in_use = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_reclaimed = 0;
    std::vector<std::weak_ptr<memory_reclaimer>> m_reclaimers;
};

/// A part of a budget, which is released with the object. A reservation without a budget never fails.
class memory_reservation {
public:
    memory_reservation() = default;
    explicit memory_reservation(std::shared_ptr<memory_budget> budget) : m_budget(std::move(budget)) {}
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&& other) noexcept;
    memory_reservation& operator=(memory_reservation&& other) noexcept;
    ~memory_reservation() { release(); }

    /// Changes the size to `bytes`. Returns false, and changes nothing, if the budget is exhausted.
    bool resize(std::size_t bytes);
    /// Like resize(), but never makes the reservation smaller.
    bool grow_to(std::size_t bytes) { return bytes <= m_bytes || resize(bytes); }
    void release();
    /// Moves up to `bytes` bytes into a reservation of their own.
    memory_reservation split(std::size_t bytes);
    /// Moves all bytes into a reservation of their own. Unlike a moved object, this one can be used further.
    memory_reservation take() { return split(m_bytes); }

    std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<memory_budget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace mulberry
