#include "plugins/admission/loadreport.h"

#include <algorithm>

namespace mulberry {

namespace {

bool sheds(const load_report& report)
{
    return report.admitted_share < 1;
}

bool is_stricter(const load_report& left, const load_report& right)
{
    if (sheds(left) != sheds(right))
        return sheds(left);
    if (left.threshold != right.threshold)
        return left.threshold > right.threshold;
    return left.admitted_share < right.admitted_share;
}

} // namespace

float admitted_share_of(const load_report& report, importance level)
{
    if (!sheds(report) || level > report.threshold)
        return 1;
    return level == report.threshold ? report.admitted_share : 0;
}

load_report stricter(const load_report& own, const load_report& deeper)
{
    load_report joined = is_stricter(deeper, own) ? deeper : own;
    joined.utilisation = std::max(own.utilisation, deeper.utilisation);
    joined.queue_delay = std::max(own.queue_delay, deeper.queue_delay);
    joined.concurrency_limit = own.concurrency_limit;
    return joined;
}

} // namespace mulberry
