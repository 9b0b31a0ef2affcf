#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "plugins/calls/calltransport.h"
#include "plugins/calls/fieldnames.h"
#include "plugins/calls/requestobserver.h"
#include "plugins/entry/policy.h"
#include "plugins/entry/ratelimiter.h"
#include "plugins/membership/memberdirectory.h"
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
    /// Makes the budget of the retries to one service; empty for one that is earned by successes.
    std::function<std::unique_ptr<retry_budget>()> make_retry_budget;
    /// Share of the upstream's calls that it makes on behalf of repeated requests; empty if that isn't known.
    std::function<double()> upstream_repeat_share;
    /// Retry-After of refusals that name none; the jitter makes it 0.5 to 1.5 times this.
    duration default_retry_after{std::chrono::seconds(1)};
    field_names fields;
    /// The service that callers' own requests come from; empty if they don't come from a service.
    std::string calling_service;
    /// Requests without a key on open routes are the calls of the upstream beside this node, which carry no context.
    bool open_requests_are_nested = false;
    /// Callers conclude from the status alone whether a request has run: 408, 421, 429 and 503 say that it has not.
    bool status_tells_outcome = false;
    /// Retry-After may have a fraction.
    bool fractional_retry_after = false;
};

/// The parts that an entry works with. All outlive it.
struct entry_parts {
    timer_service& timers;
    /// For jitter.
    random_source& random;
    /// For idempotency keys; must not be predictable.
    random_source& secure_random;
    const policy& documents;
    rate_limiter& rates;
    entry_throttle& throttle;
    upstream_selector& selector;
    const member_directory& members;
    call_transport& transport;
    request_observer& observer;
    /// Where nested calls carry no context, what they meet is kept here and reported to the entries. May be null, then
    /// requests aren't refused for a bottleneck further down.
    downstream_monitor* downstream = nullptr;
    bottleneck_throttle* bottlenecks = nullptr;
};

} // namespace mulberry
