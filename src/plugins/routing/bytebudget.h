#pragma once

#include "libs/base/timerservice.h"

#include <cstdint>

namespace mulberry::detail {

/// Token bucket for this node's bytes on the link to another region. Holds one second's worth; answers may overdraw it
/// because their size is known too late.
class byte_budget {
public:
    explicit byte_budget(timer_service& timers) : m_timers(timers), m_updated(timers.now()) {}

    void set_rate(double bytes_per_second);
    bool allows(std::uint64_t bytes) const { return level() >= static_cast<double>(bytes); }
    void take(std::uint64_t bytes);

private:
    double level() const;

    timer_service& m_timers;
    double m_rate = 0;
    double m_level = 0;
    time_point m_updated;
};

} // namespace mulberry::detail
