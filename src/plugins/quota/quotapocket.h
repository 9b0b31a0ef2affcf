#pragma once

#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "plugins/quota/quotasettings.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace mulberry::detail {

/// The tokens that one node holds for one organisation, with the requests that wait for more.
class quota_pocket {
public:
    using decision = std::function<void(std::optional<refusal>)>;

    struct waiter {
        time_point since;
        decision done;
    };

    quota_pocket(const quota_settings& settings, const quota_limit& limit, time_point now)
        : m_settings(settings), m_limit(limit), m_demand_updated(now), m_share_updated(now)
    {
    }

    void set_limit(const quota_limit& limit) { m_limit = limit; }
    const quota_limit& limit() const { return m_limit; }

    /// Counts a request towards the demand.
    void note_demand(time_point now);
    /// Uses a token; false if there is none.
    bool take(time_point now);
    /// Uses a token of the node's even share of the rate; false if there is none.
    bool take_share(time_point now, std::size_t nodes);
    /// Fills the even share anew when the node falls back to it.
    void start_share(time_point now, std::size_t nodes);

    void add(time_point now, std::uint32_t tokens);
    /// Tokens to ask for, so that the pocket lasts for the prefetch time and all waiters are served.
    std::uint32_t wanted(time_point now) const;

    void set_dry(time_point until) { m_dry_until = until; }
    bool is_dry(time_point now) const { return now < m_dry_until; }

    std::deque<waiter> waiters;
    /// Sequence of the report that asked for tokens last; 0 if its answer has come.
    std::uint64_t asked = 0;

private:
    double demand(time_point now) const;

    quota_settings m_settings;
    quota_limit m_limit;
    std::uint32_t m_tokens = 0;
    time_point m_tokens_since;
    time_point m_dry_until;
    double m_demand = 0;
    time_point m_demand_updated;
    double m_share = 0;
    time_point m_share_updated;
};

} // namespace mulberry::detail
