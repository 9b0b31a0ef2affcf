#pragma once

#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "plugins/quota/quotasettings.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry::detail {

/// The tokens that one node holds locally for one organisation, and the requests that wait for more tokens.
class local_quota {
public:
    using admission_callback = std::function<void(std::optional<refusal>)>;

    struct waiter {
        time_point waiting_since;
        admission_callback done;
    };

    local_quota(const quota_settings& settings, const quota_limit& limit, time_point now)
        : m_settings(settings), m_limit(limit), m_demand_updated_at(now), m_even_share_updated_at(now)
    {
    }

    void set_limit(const quota_limit& limit) { m_limit = limit; }
    const quota_limit& limit() const { return m_limit; }

    /// Counts one request in the estimate of the demand.
    void record_demand(time_point now);
    /// Takes one granted token; false if there is none.
    bool take_token(time_point now);
    /// Takes one token from the node's even share of the rate, which grows only while grants are missing; false if
    /// there is none. A borrowed token is paid back from the next grants.
    bool take_even_share(time_point now, std::size_t nodes, bool borrowed);
    /// Grants arrive again, so the even share no longer grows.
    void end_even_share() { m_uses_even_share = false; }

    /// Adds granted tokens, of which borrowed ones are paid back first.
    void add_tokens(time_point now, std::uint32_t tokens);
    /// Remembers the level of the organisation's bucket that this coordinator named.
    void set_level(time_point now, std::string coordinator, std::uint32_t level);
    /// True if the coordinator that sent the last grant had tokens left.
    bool coordinator_has_tokens() const { return m_level > 0; }
    /// Returns the last level that a coordinator other than this one named; empty if it is unknown or too old.
    std::optional<std::uint32_t> level_of_other(time_point now, std::string_view coordinator) const;
    /// Returns the number of tokens to request so that all waiters can be admitted, the demand of the prefetch time is
    /// covered and borrowed tokens are paid back.
    std::uint32_t tokens_to_request(time_point now) const;

    void set_exhausted(time_point until) { m_exhausted_until = until; }
    bool is_exhausted(time_point now) const { return now < m_exhausted_until; }

    std::deque<waiter> waiters;
    /// Sequence of the report that requested tokens and has no response yet; 0 if there is none.
    std::uint64_t pending_report_sequence = 0;

private:
    double demand(time_point now) const;

    quota_settings m_settings;
    quota_limit m_limit;
    std::uint32_t m_tokens = 0;
    time_point m_tokens_granted_at;
    time_point m_exhausted_until;
    double m_demand_per_s = 0;
    time_point m_demand_updated_at;
    double m_even_share_tokens = 0;
    time_point m_even_share_updated_at;
    bool m_uses_even_share = false;
    std::uint32_t m_borrowed_tokens = 0;
    std::uint32_t m_level = 0;
    std::string m_level_source;
    time_point m_level_received_at;
};

} // namespace mulberry::detail
