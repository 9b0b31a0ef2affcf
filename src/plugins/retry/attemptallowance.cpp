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
                                               "more retries than the allowance of the tree");
}

attempt_allowance::loan attempt_allowance::lend(std::uint32_t part)
{
    const loan lent{++m_last_loan, std::min(part, m_remaining)};
    m_remaining -= lent.attempts;
    m_loans.emplace(lent.id, lent.attempts);
    return lent;
}

bool attempt_allowance::give_back(std::uint32_t loan_id, std::uint32_t unused)
{
    const auto it = m_loans.find(loan_id);
    const bool valid = it != m_loans.end() && unused <= it->second;
    if (!invariant_monitor::instance().check(valid, invariant::attempts_bounded,
                                             "returned more of an allowance than was lent"))
        return false;
    m_spent += it->second - unused;
    m_loans.erase(it);
    m_remaining += unused;
    return true;
}

} // namespace mulberry
