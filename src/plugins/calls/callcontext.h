#pragma once

#include "libs/base/importance.h"
#include "libs/base/refusal.h"
#include "plugins/admission/loadreport.h"
#include "plugins/retry/attemptallowance.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace mulberry {

/// A call that runs at the upstream beside this node: the parent of the nested calls that the upstream makes for it.
struct call_context {
    std::string request_id;
    std::string organisation;
    std::string service;
    importance level = importance::normal;
    time_point deadline;
    std::uint32_t depth = 1;
    attempt_allowance allowance{0};
    /// Load of the deepest bottleneck that answers of nested calls reported.
    std::optional<load_report> load_below;
    bool retries_exhausted = false;
    /// A nested call ended in a refusal or failure.
    bool failed_below = false;
    /// False once the upstream has answered or the call was cancelled; nested calls are then refused.
    bool running = true;
    /// Cancels of the nested calls in progress.
    std::map<std::uint64_t, std::function<void()>> nested;
};

} // namespace mulberry
