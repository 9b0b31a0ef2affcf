#include "plugins/admission/importanceordercheck.h"

#include "libs/base/invariant.h"

#include <algorithm>

namespace mulberry::detail {

bool importance_order_check::check_admission(importance level) const
{
    const auto more_important = m_waiting.begin() + static_cast<std::ptrdiff_t>(level) + 1;
    const bool none_waits =
        std::all_of(more_important, m_waiting.end(), [](std::size_t waiting) { return waiting == 0; });
    return invariant_monitor::instance().check(none_waits, invariant::importance_order,
                                               "a request was admitted while a more important one waits");
}

bool importance_order_check::check_shedding(importance level) const
{
    const auto own_level = m_waiting.begin() + static_cast<std::ptrdiff_t>(level);
    const bool none_waits = std::all_of(m_waiting.begin(), own_level, [](std::size_t waiting) { return waiting == 0; });
    return invariant_monitor::instance().check(none_waits, invariant::importance_order,
                                               "a request was shed while a less important one waits");
}

} // namespace mulberry::detail
