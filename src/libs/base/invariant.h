#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>

namespace mulberry {

/// The properties that the program checks at run time. docs/design.md, section 4, describes them.
enum class invariant : std::uint8_t {
    attempts_bounded,
    non_idempotent_once,
    not_run_is_true,
    rate_bounded,
    key_authorised,
    revision_monotonic,
    leaving_gets_no_work,
    planned_stop_cuts_nothing,
    answer_matches_request,
    importance_order,
    count // number of invariants; not an invariant itself
};

/// Returns the metric label.
std::string_view to_string(invariant which);

/// Counts violations for the metrics and calls an observer, with which tests fail at the first violation. check() and
/// violations() are thread-safe. The observer must be set before other threads start.
class invariant_monitor {
public:
    using observer = std::function<void(invariant, std::string_view detail)>;

    /// Returns the monitor of this process.
    static invariant_monitor& instance();

    /// Logs and counts a violation if the condition is false. Returns the condition, so that the caller can refuse the
    /// operation.
    bool check(bool condition, invariant which, std::string_view detail);

    std::uint64_t violations(invariant which) const;
    void set_observer(observer callback) { m_observer = std::move(callback); }

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(invariant::count)> m_counts{};
    observer m_observer;
};

} // namespace mulberry
