#include "plugins/admission/importanceordercheck.h"

#include "libs/base/invariant.h"

#include <algorithm>

namespace mulberry::detail {

bool importance_order_check::admitting(importance level) const
{
    const auto above = m_waiting.begin() + static_cast<std::ptrdiff_t>(level) + 1;
    const bool none = std::all_of(above, m_waiting.end(), [](std::size_t waiting) { return waiting == 0; });
    return invariant_monitor::instance().check(none, invariant::importance_order,
                                               "admitted while a more important request waits");
}

bool importance_order_check::shedding(importance level) const
{
    const auto own = m_waiting.begin() + static_cast<std::ptrdiff_t>(level);
    const bool none = std::all_of(m_waiting.begin(), own, [](std::size_t waiting) { return waiting == 0; });
    return invariant_monitor::instance().check(none, invariant::importance_order,
                                               "shed while a less important request waits");
}

} // namespace mulberry::detail
