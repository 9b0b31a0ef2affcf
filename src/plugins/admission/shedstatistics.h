#pragma once

#include "libs/base/importance.h"
#include "libs/base/time.h"
#include "plugins/admission/loadreport.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace mulberry::detail {

/// Recent decisions per organisation and importance, and the use of slots and queue, with exponentially decaying
/// weight.
class shed_statistics {
public:
    explicit shed_statistics(time_point now) : m_use_updated(now) {}

    void on_decision(time_point now, std::string_view organisation, importance level, bool admitted);
    void on_wait(time_point now, duration wait);
    /// Call before the number of running requests or the limit changes.
    void on_use(time_point now, double utilisation);

    load_report report(time_point now, std::string_view organisation) const;

private:
    struct decision_count {
        double decided = 0;
        double admitted = 0;
    };
    struct organisation_counts {
        std::array<decision_count, all_importances.size()> levels;
        time_point updated;
    };

    std::map<std::string, organisation_counts, std::less<>> m_counts;
    double m_utilisation = 0;
    time_point m_use_updated;
    double m_wait_sum_us = 0;
    double m_wait_weight = 0;
    time_point m_wait_updated;
};

} // namespace mulberry::detail
