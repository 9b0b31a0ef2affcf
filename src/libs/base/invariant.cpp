#include "libs/base/invariant.h"

#include "libs/base/log.h"

namespace mulberry {

std::string_view to_string(invariant which)
{
    switch (which) {
    case invariant::attempts_bounded:
        return "attempts_bounded";
    case invariant::non_idempotent_once:
        return "non_idempotent_once";
    case invariant::not_run_is_true:
        return "not_run_is_true";
    case invariant::rate_bounded:
        return "rate_bounded";
    case invariant::key_authorised:
        return "key_authorised";
    case invariant::revision_monotonic:
        return "revision_monotonic";
    case invariant::leaving_gets_no_work:
        return "leaving_gets_no_work";
    case invariant::planned_stop_cuts_nothing:
        return "planned_stop_cuts_nothing";
    case invariant::answer_matches_request:
        return "answer_matches_request";
    case invariant::importance_order:
        return "importance_order";
    case invariant::count:
        break;
    }
    return "invalid";
}

invariant_monitor& invariant_monitor::instance()
{
    static invariant_monitor monitor;
    return monitor;
}

bool invariant_monitor::check(bool condition, invariant which, std::string_view detail)
{
    if (condition)
        return true;
    m_counts[static_cast<std::size_t>(which)].fetch_add(1, std::memory_order_relaxed);
    log_error("invariant", "Invariant {} was violated: {}.", to_string(which), detail);
    if (m_observer)
        m_observer(which, detail);
    return false;
}

std::uint64_t invariant_monitor::violations(invariant which) const
{
    return m_counts[static_cast<std::size_t>(which)].load(std::memory_order_relaxed);
}

} // namespace mulberry
