#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace mulberry {

/// A fixed number of slots, which are assigned in the order of the requests for them. Thread-safe.
class slot_pool {
public:
    explicit slot_pool(std::uint32_t slots) : m_slots(slots) {}

    /// Acquires a slot; blocks until one is free if `wait` is set. Returns false if none is free and `wait` is not set.
    bool acquire(bool wait);
    void release();

    /// Returns the number of slots in use.
    std::uint32_t busy() const;
    /// Returns the number of calls of acquire() that wait for a slot.
    std::uint64_t waiting() const;
    /// Returns the maximum number of slots that were in use at the same time.
    std::uint32_t peak_busy() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_slot_available;
    std::uint32_t m_slots;
    std::uint32_t m_busy = 0;
    std::uint32_t m_peak_busy = 0;
    /// Tickets number the calls of acquire(). A call gets a slot when all earlier tickets have got one.
    std::uint64_t m_next_ticket = 0;
    std::uint64_t m_admitted_tickets = 0;
};

/// Acquires a slot of a pool and releases it at the end of the scope.
class scoped_slot {
public:
    scoped_slot(slot_pool& pool, bool wait) : m_pool(pool), m_acquired(pool.acquire(wait)) {}
    scoped_slot(const scoped_slot&) = delete;
    scoped_slot& operator=(const scoped_slot&) = delete;
    ~scoped_slot()
    {
        if (m_acquired)
            m_pool.release();
    }

    /// Returns whether a slot has been acquired.
    explicit operator bool() const { return m_acquired; }

private:
    slot_pool& m_pool;
    bool m_acquired;
};

} // namespace mulberry
