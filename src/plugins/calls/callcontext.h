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

/// A call that is running at the upstream beside this node. It is the parent of the nested calls that the upstream
/// makes on its behalf.
struct call_context {
    std::string request_id;
    std::string organisation;
    std::string service;
    importance level = importance::normal;
    time_point deadline;
    std::uint32_t depth = 1;
    attempt_allowance allowance{0};
    /// Strictest load report in the responses of nested calls.
    std::optional<load_report> nested_call_load;
    bool retries_exhausted = false;
    /// True if a nested call ended in a refusal or failure.
    bool failed_below = false;
    /// False once the upstream has responded or the call was cancelled; nested calls are refused from then on.
    bool running = true;
    /// Functions that cancel the nested calls in progress, by call.
    std::map<std::uint64_t, std::function<void()>> nested_call_cancels;
};

} // namespace mulberry
