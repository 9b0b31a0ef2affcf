#pragma once

#include "libs/base/refusal.h"

#include <functional>
#include <optional>
#include <string_view>

namespace mulberry {

/// Limits the requests of organisations to their rate and burst across all nodes.
class rate_limiter {
public:
    rate_limiter() = default;
    rate_limiter(const rate_limiter&) = delete;
    rate_limiter& operator=(const rate_limiter&) = delete;
    virtual ~rate_limiter() = default;

    /// Counts one request against the rate limit of the organisation. The callback is called exactly once, possibly
    /// before this returns, with a refusal if the limit is exceeded.
    virtual void admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done) = 0;
};

} // namespace mulberry
