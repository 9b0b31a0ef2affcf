#pragma once

#include "libs/base/timerservice.h"
#include "plugins/retry/retrybudget.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mulberry {

struct windowed_retry_budget_settings {
    /// Retries in any window per request in it or in the one before, this node's share of the fleet's bound.
    double ratio = 0.1;
    /// Retries in a window beyond that.
    double slack = 1;
    duration window{std::chrono::seconds(10)};
};

/// Bounds retries over a sliding window by the requests of that window or the one before, whichever had more. Unlike a
/// budget that is earned by successes it can be used in full while most calls fail. Calls on behalf of repeated
/// requests count as retries.
class windowed_retry_budget final : public retry_budget {
public:
    /// The settings outlive the budget. Ratio and slack may change, the window may not.
    windowed_retry_budget(const windowed_retry_budget_settings& settings, timer_service& timers);

    void on_request(double repeat_share) override;
    void on_success() override {}
    bool take(importance level) override;

private:
    /// Parts into which a window is divided.
    static constexpr std::size_t parts = 20;
    struct count {
        double requests = 0;
        double retries = 0;
    };

    count& current();
    double sum(double count::*member, std::size_t first, std::size_t size) const;

    const windowed_retry_budget_settings& m_settings;
    timer_service& m_timers;
    /// The last two windows in a ring, by the number of the part.
    std::array<count, 2 * parts> m_counts{};
    std::int64_t m_part = 0;
};

} // namespace mulberry
