#pragma once

#include "libs/base/time.h"

#include <cstdint>

namespace mulberry::shares {

/// Millionths of a request.
using micro_tokens = std::int64_t;
/// Billionths of an organisation's figure.
using parts = std::int64_t;

constexpr micro_tokens one_token = 1'000'000;
constexpr parts whole = 1'000'000'000;
/// Larger figures are cut to these, so that products stay within 128 bits and sums within 64.
constexpr micro_tokens max_rate = 1'000'000 * one_token;
constexpr micro_tokens max_burst = 1'000'000 * one_token;

/// An organisation's rate (micro-tokens per second) and burst (micro-tokens) across the fleet.
struct figure {
    micro_tokens rate = 0;
    micro_tokens burst = 0;

    bool operator==(const figure&) const = default;
};

/// A share of an organisation's figure that moves between holders: parts of its rate, parts of its burst, and tokens.
struct share {
    parts rate = 0;
    parts capacity = 0;
    micro_tokens level = 0;

    bool operator==(const share&) const = default;
    share& operator+=(const share& other);
    share& operator-=(const share& other);
};

share operator+(share left, const share& right);
share operator-(share left, const share& right);

/// value x multiplier / divisor without overflow, rounded down. All arguments are at least 0, the divisor above 0.
std::int64_t scaled(std::int64_t value, std::int64_t multiplier, std::int64_t divisor);

/// A token bucket over a share of a figure. Arithmetic is in integers and exact; rounding only ever loses tokens, so
/// splits and merges never let the buckets of one figure gain tokens together.
class token_bucket {
public:
    token_bucket() = default;
    token_bucket(figure limits, time_point now) : m_limits(limits), m_updated(now) {}

    /// Adds the tokens that arrived since the last call. Every other call works on the state at that time.
    void advance(time_point now);
    /// Replaces the figure. Tokens above the new capacity are lost.
    void set_limits(figure limits);

    /// Takes tokens if they are there.
    bool take(micro_tokens amount);

    /// Splits a share off. Parts must not exceed those held. Returns the share with as many of the tokens asked for as
    /// are there and fit its capacity.
    share split(const share& wanted);
    /// Adds a share. Tokens above the capacity are lost.
    void merge(const share& added);
    /// Empties the bucket and returns its share.
    share release();
    /// Adds tokens, up to the capacity.
    void add(micro_tokens amount);

    parts rate_parts() const { return m_held.rate; }
    parts capacity_parts() const { return m_held.capacity; }
    micro_tokens rate() const { return scaled(m_limits.rate, m_held.rate, whole); }
    micro_tokens capacity() const { return scaled(m_limits.burst, m_held.capacity, whole); }
    micro_tokens level() const { return m_held.level; }
    const figure& limits() const { return m_limits; }

    /// Time until the level is reached; the longest duration if the rate or the capacity does not allow it.
    duration time_until(micro_tokens level) const;

private:
    void clip();

    figure m_limits;
    share m_held;
    /// Part of a micro-token that has arrived, in units of 1 / (whole x 10^6).
    std::int64_t m_remainder = 0;
    time_point m_updated{};
};

} // namespace mulberry::shares
