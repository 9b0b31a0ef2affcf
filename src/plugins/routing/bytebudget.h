#pragma once

#include "libs/base/timerservice.h"

#include <cstdint>

namespace mulberry::detail {

/// Token bucket that limits the bytes this node sends and receives over the link to another region. Its capacity is one
/// second of the rate. Responses may make the balance negative, because their size is not known when the upstream is
/// chosen.
class byte_budget {
public:
    explicit byte_budget(timer_service& timers) : m_timers(timers), m_updated_at(timers.now()) {}

    /// Sets the refill rate. The first call also fills the bucket.
    void set_rate(double bytes_per_second);
    /// True if the bucket has at least this many bytes left.
    bool allows(std::uint64_t bytes) const { return available_bytes() >= static_cast<double>(bytes); }
    void consume(std::uint64_t bytes);

private:
    double available_bytes() const;

    timer_service& m_timers;
    double m_bytes_per_second = 0;
    double m_available_bytes = 0;
    time_point m_updated_at;
};

} // namespace mulberry::detail
