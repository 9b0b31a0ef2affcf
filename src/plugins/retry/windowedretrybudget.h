#pragma once

#include "libs/base/timerservice.h"
#include "plugins/retry/retrybudget.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mulberry {

struct windowed_retry_budget_settings {
    /// Maximum number of retries in a window per request in that window or the previous one. This is the node's share
    /// of the limit of the fleet.
    double ratio = 0.1;
    /// Number of retries that are allowed in a window in addition to `ratio`.
    double slack = 1;
    duration window{std::chrono::seconds(10)};
};

/// Limits the retries in a sliding window in proportion to the requests in that window or the previous one, whichever
/// had more. Unlike a budget that is earned by successes, it remains available while most calls fail. Calls on behalf
/// of retries count as retries.
class windowed_retry_budget final : public retry_budget {
public:
    /// The settings must outlive the budget. Ratio and slack may change during its lifetime; the window must not.
    windowed_retry_budget(const windowed_retry_budget_settings& settings, timer_service& timers);

    void on_request(double repeat_share) override;
    void on_success() override {}
    bool take(importance level) override;

private:
    /// Number of slices into which a window is divided.
    static constexpr std::size_t slices_per_window = 20;
    struct slice_counts {
        double requests = 0;
        double retries = 0;
    };

    slice_counts& current_slice();
    double sum_of(double slice_counts::*member, std::size_t first, std::size_t size) const;

    const windowed_retry_budget_settings& m_settings;
    timer_service& m_timers;
    /// Counts of the last two windows in a ring buffer; the index is the slice number modulo the size.
    std::array<slice_counts, 2 * slices_per_window> m_counts{};
    std::int64_t m_slice_number = 0;
};

} // namespace mulberry
