#include "plugins/retry/attemptallowance.h"

#include "libs/base/invariant.h"

#include <algorithm>

namespace mulberry {

bool attempt_allowance::take()
{
    if (m_remaining == 0)
        return false;
    --m_remaining;
    ++m_spent;
    return invariant_monitor::instance().check(m_spent + m_remaining <= m_total, invariant::attempts_bounded,
                                               "more retries than the allowance of the call tree");
}

attempt_allowance::attempt_reservation attempt_allowance::reserve_attempts(std::uint32_t attempts)
{
    const attempt_reservation reserved{++m_last_reservation_id, std::min(attempts, m_remaining)};
    m_remaining -= reserved.attempts;
    m_reservations.emplace(reserved.id, reserved.attempts);
    return reserved;
}

bool attempt_allowance::return_unused(std::uint32_t reservation_id, std::uint32_t unused)
{
    const auto it = m_reservations.find(reservation_id);
    const bool valid = it != m_reservations.end() && unused <= it->second;
    if (!invariant_monitor::instance().check(valid, invariant::attempts_bounded,
                                             "returned more attempts to an allowance than were reserved"))
        return false;
    m_spent += it->second - unused;
    m_reservations.erase(it);
    m_remaining += unused;
    return true;
}

} // namespace mulberry
