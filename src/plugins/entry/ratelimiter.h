#pragma once

#include "libs/base/refusal.h"

#include <functional>
#include <optional>
#include <string_view>

namespace mulberry {

/// Counts requests of organisations against their rate and burst across all nodes.
class rate_limiter {
public:
    rate_limiter() = default;
    rate_limiter(const rate_limiter&) = delete;
    rate_limiter& operator=(const rate_limiter&) = delete;
    virtual ~rate_limiter() = default;

    /// Takes one request from the organisation's share. The callback comes once, perhaps before this returns; it gets a
    /// refusal when the share is used up.
    virtual void admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done) = 0;
};

} // namespace mulberry
