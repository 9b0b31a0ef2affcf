#pragma once

#include "libs/base/importance.h"
#include "libs/base/time.h"
#include "plugins/admission/loadreport.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace mulberry::detail {

/// Statistics of recent decisions per organisation and importance, of the utilisation of the slots and of the wait in
/// the queue, with exponentially decaying weight.
class shed_statistics {
public:
    explicit shed_statistics(time_point now) : m_utilisation_updated_at(now) {}

    void on_decision(time_point now, std::string_view organisation, importance level, bool admitted);
    void on_wait(time_point now, duration wait);
    /// Records the utilisation since the last call. Call this before the number of running requests or the limit
    /// changes.
    void on_utilisation(time_point now, double utilisation);

    load_report report(time_point now, std::string_view organisation) const;

private:
    struct decision_count {
        double decisions = 0;
        double admissions = 0;
    };
    struct organisation_counts {
        std::array<decision_count, all_importances.size()> levels;
        time_point updated_at;
    };

    std::map<std::string, organisation_counts, std::less<>> m_counts;
    double m_utilisation = 0;
    time_point m_utilisation_updated_at;
    double m_wait_sum_us = 0;
    double m_wait_weight = 0;
    time_point m_wait_updated_at;
};

} // namespace mulberry::detail
