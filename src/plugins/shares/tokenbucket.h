#pragma once

#include "libs/base/time.h"

#include <cstdint>

namespace mulberry::shares {

/// Millionths of a request.
using micro_tokens = std::int64_t;
/// Billionths of an organisation's rate limit.
using share_units = std::int64_t;

constexpr micro_tokens one_token = 1'000'000;
constexpr share_units full_share = 1'000'000'000;
/// Larger limits are reduced to these values, so that products fit into 128 bits and sums into 64 bits.
constexpr micro_tokens max_rate = 1'000'000 * one_token;
constexpr micro_tokens max_burst = 1'000'000 * one_token;

/// Rate (micro-tokens per second) and burst (micro-tokens) of an organisation across the whole fleet.
struct rate_limit {
    micro_tokens rate = 0;
    micro_tokens burst = 0;

    bool operator==(const rate_limit&) const = default;
};

/// A share of an organisation's rate limit that moves between nodes and coordinators: share units of the rate, share
/// units of the burst, and tokens.
struct share {
    share_units rate = 0;
    share_units capacity = 0;
    micro_tokens level = 0;

    bool operator==(const share&) const = default;
    share& operator+=(const share& other);
    share& operator-=(const share& other);
};

share operator+(share left, const share& right);
share operator-(share left, const share& right);

/// Returns value x multiplier / divisor without overflow, rounded down. All arguments must be at least 0, and the
/// divisor above 0.
std::int64_t scaled(std::int64_t value, std::int64_t multiplier, std::int64_t divisor);

/// Token bucket over a share of a rate limit. It uses exact integer arithmetic, and rounding only ever loses tokens, so
/// splitting and merging never lets the buckets of one rate limit gain tokens in total.
class token_bucket {
public:
    token_bucket() = default;
    token_bucket(rate_limit limits, time_point now) : m_limits(limits), m_updated(now) {}

    /// Adds the tokens that have accrued since the last call. All other functions use the state of that time.
    void advance(time_point now);
    /// Replaces the rate limit. Tokens above the new capacity are lost.
    void set_limits(rate_limit limits);

    /// Removes the tokens if the bucket contains enough, and returns whether it did.
    bool take(micro_tokens amount);

    /// Splits off a share. The requested units must not exceed those in the bucket. The returned share has as many of
    /// the requested tokens as are available and fit its capacity.
    share split(const share& requested);
    /// Adds a share. Tokens above the resulting capacity are lost.
    void merge(const share& added);
    /// Empties the bucket and returns its share.
    share release();
    /// Adds tokens up to the capacity.
    void add(micro_tokens amount);

    share_units rate_units() const { return m_share.rate; }
    share_units capacity_units() const { return m_share.capacity; }
    micro_tokens rate() const { return scaled(m_limits.rate, m_share.rate, full_share); }
    micro_tokens capacity() const { return scaled(m_limits.burst, m_share.capacity, full_share); }
    micro_tokens level() const { return m_share.level; }
    const rate_limit& limits() const { return m_limits; }

    /// Time until the bucket reaches the level; duration::max() if its rate or capacity does not allow that.
    duration time_until(micro_tokens level) const;

private:
    void clamp_level();

    rate_limit m_limits;
    share m_share;
    /// Fraction of a micro-token that has accrued, in units of 1 / (full_share x 10^6).
    std::int64_t m_remainder = 0;
    time_point m_updated{};
};

} // namespace mulberry::shares
