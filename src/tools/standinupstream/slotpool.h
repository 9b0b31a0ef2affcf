#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace mulberry {

/// A fixed number of slots that are taken in the order of arrival. Thread-safe.
class slot_pool {
public:
    explicit slot_pool(std::uint32_t slots) : m_slots(slots) {}

    /// Takes a slot, after a wait if `wait` is set. False if none is free and it does not wait.
    bool acquire(bool wait);
    void release();

    std::uint32_t busy() const;
    std::uint64_t waiting() const;
    /// Most slots that were taken at a time.
    std::uint32_t peak() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint32_t m_slots;
    std::uint32_t m_busy = 0;
    std::uint32_t m_peak = 0;
    std::uint64_t m_next_ticket = 0;
    std::uint64_t m_served_tickets = 0;
};

/// Holds a slot until the end of its scope.
class held_slot {
public:
    held_slot(slot_pool& pool, bool wait) : m_pool(pool), m_held(pool.acquire(wait)) {}
    held_slot(const held_slot&) = delete;
    held_slot& operator=(const held_slot&) = delete;
    ~held_slot()
    {
        if (m_held)
            m_pool.release();
    }

    explicit operator bool() const { return m_held; }

private:
    slot_pool& m_pool;
    bool m_held;
};

} // namespace mulberry
