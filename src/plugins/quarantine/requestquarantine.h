#pragma once

#include "libs/base/refusal.h"
#include "plugins/calls/requestfingerprint.h"

#include <optional>
#include <span>

namespace mulberry {

/// Knows which requests crash the upstreams that run them.
class request_quarantine {
public:
    request_quarantine() = default;
    request_quarantine(const request_quarantine&) = delete;
    request_quarantine& operator=(const request_quarantine&) = delete;
    virtual ~request_quarantine() = default;

    /// Returns a refusal if the request has crashed several upstreams and must not reach another one.
    virtual std::optional<refusal> check(request_fingerprint fingerprint) = 0;
    /// Whether the request must run apart from others to which this applies, because one of them may be the cause of
    /// several crashes.
    virtual bool needs_isolation(request_fingerprint fingerprint) const = 0;
    /// An upstream has completed the request.
    virtual void on_completed(request_fingerprint fingerprint) = 0;
    /// An upstream has crashed while it was running these requests.
    virtual void on_upstream_crashed(std::span<const request_fingerprint> running) = 0;
};

} // namespace mulberry
