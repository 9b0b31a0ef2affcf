#pragma once

#include "plugins/quarantine/requestquarantine.h"

#include <set>
#include <vector>

namespace mulberry {

/// A quarantine whose content the test sets, and which records what it is told.
class fake_quarantine final : public request_quarantine {
public:
    std::optional<refusal> check(request_fingerprint fingerprint) override
    {
        if (!refuses_all && !refused.contains(fingerprint))
            return std::nullopt;
        return not_run_refusal(refusal_reason::request_quarantined);
    }
    bool needs_isolation(request_fingerprint fingerprint) const override { return isolated.contains(fingerprint); }
    void on_completed(request_fingerprint fingerprint) override { completed.push_back(fingerprint); }
    void on_upstream_crashed(std::span<const request_fingerprint> running) override
    {
        crashes.emplace_back(running.begin(), running.end());
    }

    bool refuses_all = false;
    std::set<request_fingerprint> refused;
    std::set<request_fingerprint> isolated;
    std::vector<request_fingerprint> completed;
    /// The running requests of each crash.
    std::vector<std::vector<request_fingerprint>> crashes;
};

} // namespace mulberry
