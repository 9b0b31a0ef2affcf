#include "plugins/admission/loadreport.h"

#include <algorithm>

namespace mulberry {

namespace {

bool is_shedding(const load_report& report)
{
    return report.admitted_share < 1;
}

bool is_stricter(const load_report& left, const load_report& right)
{
    if (is_shedding(left) != is_shedding(right))
        return is_shedding(left);
    if (left.threshold != right.threshold)
        return left.threshold > right.threshold;
    return left.admitted_share < right.admitted_share;
}

} // namespace

float admitted_share_of(const load_report& report, importance level)
{
    if (!is_shedding(report) || level > report.threshold)
        return 1;
    return level == report.threshold ? report.admitted_share : 0;
}

load_report merge_load_reports(const load_report& own, const load_report& downstream)
{
    load_report merged = is_stricter(downstream, own) ? downstream : own;
    merged.utilisation = std::max(own.utilisation, downstream.utilisation);
    merged.queue_delay = std::max(own.queue_delay, downstream.queue_delay);
    merged.concurrency_limit = own.concurrency_limit;
    return merged;
}

} // namespace mulberry
