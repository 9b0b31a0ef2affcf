#pragma once

#include "libs/base/refusal.h"
#include "plugins/calls/callresponse.h"
#include "plugins/entry/entrydependencies.h"
#include "plugins/entry/entryrequest.h"

#include <optional>
#include <string>

namespace mulberry::detail {

/// Load control at an entry: refuses requests before any work is done for them, and records the load that responses
/// report.
class entry_load {
public:
    /// The dependencies must outlive this object.
    explicit entry_load(const entry_dependencies& dependencies) : m_dependencies(dependencies) {}

    /// Checks the request against the load of its service.
    std::optional<refusal> check(const entry_request& request);
    /// Checks the request against the load of downstream services. Called only for requests within the rate limit of
    /// their organisation, because requests beyond it must not count as demand on a bottleneck.
    std::optional<refusal> check_bottlenecks(const entry_request& request);

    void record_response(const entry_request& request, const call_response& response);
    /// Records that the request is refused.
    void on_refused(const entry_request& request);

private:
    static std::string route_of(const entry_request& request);

    const entry_dependencies& m_dependencies;
};

/// True if a guard refused because its upstream has no free capacity. Requests that an upstream sheds itself and calls
/// with too little time left do not count, because admitting fewer requests would not prevent them.
bool is_capacity_refusal(refusal_reason reason);

} // namespace mulberry::detail
