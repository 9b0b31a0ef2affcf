#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "plugins/calls/calltransport.h"
#include "plugins/calls/fieldnames.h"
#include "plugins/calls/requestobserver.h"
#include "plugins/entry/policy.h"
#include "plugins/entry/ratelimiter.h"
#include "plugins/membership/memberdirectory.h"
#include "plugins/quarantine/requestquarantine.h"
#include "plugins/retry/retrybudget.h"
#include "plugins/retry/retrypolicy.h"
#include "plugins/routing/upstreamselector.h"
#include "plugins/throttle/bottleneckthrottle.h"
#include "plugins/throttle/downstreammonitor.h"
#include "plugins/throttle/entrythrottle.h"

#include <functional>
#include <memory>
#include <string>

namespace mulberry {

struct entry_settings {
    node_id self;
    retry_settings retry;
    /// Creates the retry budget of one service. If empty, an `earned_retry_budget` is used.
    std::function<std::unique_ptr<retry_budget>()> make_retry_budget;
    /// Returns the share of the upstream's calls that it makes on behalf of retries; empty if the share is not known.
    std::function<double()> upstream_repeat_share;
    /// Retry-After of refusals that do not specify one, before jitter. Jitter multiplies it by 0.5 to 1.5.
    duration default_retry_after{std::chrono::seconds(1)};
    field_names fields;
    /// The service that sends the callers' requests; empty if they do not come from a service.
    std::string calling_service;
    /// Whether requests without a key on open routes are nested calls of the upstream beside this node. Such calls
    /// carry no context.
    bool open_requests_are_nested = false;
    /// Whether callers conclude from the status alone that a request has not run. They do so for 408, 421, 429 and
    /// 503, so these are sent only for requests that have not run.
    bool status_implies_outcome = false;
    /// Whether Retry-After is sent in seconds with three decimals instead of whole seconds.
    bool fractional_retry_after = false;
};

/// The objects that an entry uses. All must outlive the entry.
struct entry_dependencies {
    timer_service& timers;
    /// Source of jitter.
    random_source& random;
    /// Source of idempotency keys, which must not be predictable.
    random_source& secure_random;
    const policy& documents;
    rate_limiter& rates;
    entry_throttle& throttle;
    upstream_selector& selector;
    const member_directory& members;
    call_transport& transport;
    request_observer& observer;
    /// Records the outcome of nested calls that carry no context and reports it to the entries. May be null; then
    /// requests are not refused because of a downstream bottleneck.
    downstream_monitor* downstream = nullptr;
    bottleneck_throttle* bottlenecks = nullptr;
    /// May be null; then requests that crash upstreams are not refused.
    request_quarantine* quarantine = nullptr;
};

} // namespace mulberry
