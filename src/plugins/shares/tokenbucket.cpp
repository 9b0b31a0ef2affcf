#include "plugins/shares/tokenbucket.h"

#include <algorithm>

namespace mulberry::shares {

namespace {

__extension__ using wide = __int128;

constexpr std::int64_t microseconds_per_second = 1'000'000;
constexpr wide remainder_scale = wide{full_share} * microseconds_per_second;

} // namespace

share& share::operator+=(const share& other)
{
    rate += other.rate;
    capacity += other.capacity;
    level += other.level;
    return *this;
}

share& share::operator-=(const share& other)
{
    rate -= other.rate;
    capacity -= other.capacity;
    level -= other.level;
    return *this;
}

share operator+(share left, const share& right)
{
    return left += right;
}

share operator-(share left, const share& right)
{
    return left -= right;
}

std::int64_t scaled(std::int64_t value, std::int64_t multiplier, std::int64_t divisor)
{
    return static_cast<std::int64_t>(wide{value} * multiplier / divisor);
}

void token_bucket::advance(time_point now)
{
    if (now <= m_updated)
        return;
    const std::int64_t elapsed = (now - m_updated).count();
    m_updated = now;
    // The product stays below 2^127: 10^12 x 10^9 x 10^16 microseconds (300 years).
    const wide accrued = wide{m_limits.rate} * m_share.rate * elapsed + m_remainder;
    const wide free_capacity = capacity() - m_share.level;
    if (accrued / remainder_scale >= free_capacity) {
        m_share.level = capacity();
        m_remainder = 0;
        return;
    }
    m_share.level += static_cast<micro_tokens>(accrued / remainder_scale);
    m_remainder = static_cast<std::int64_t>(accrued % remainder_scale);
}

void token_bucket::set_limits(rate_limit limits)
{
    m_limits = {std::clamp(limits.rate, micro_tokens{0}, max_rate),
                std::clamp(limits.burst, micro_tokens{0}, max_burst)};
    clamp_level();
}

bool token_bucket::take(micro_tokens amount)
{
    if (m_share.level < amount)
        return false;
    m_share.level -= amount;
    return true;
}

share token_bucket::split(const share& requested)
{
    share result{std::clamp(requested.rate, share_units{0}, m_share.rate),
                 std::clamp(requested.capacity, share_units{0}, m_share.capacity), 0};
    const micro_tokens max_level = scaled(m_limits.burst, result.capacity, full_share);
    result.level = std::clamp(requested.level, micro_tokens{0}, std::min(m_share.level, max_level));
    m_share -= result;
    clamp_level();
    return result;
}

void token_bucket::merge(const share& added)
{
    m_share += added;
    clamp_level();
}

share token_bucket::release()
{
    const share result = m_share;
    m_share = {};
    m_remainder = 0;
    return result;
}

void token_bucket::add(micro_tokens amount)
{
    m_share.level += amount;
    clamp_level();
}

duration token_bucket::time_until(micro_tokens level) const
{
    if (m_share.level >= level)
        return duration{0};
    if (level > capacity() || m_limits.rate == 0 || m_share.rate == 0)
        return duration::max();
    const wide missing = wide{level - m_share.level} * remainder_scale - m_remainder;
    const wide per_microsecond = wide{m_limits.rate} * m_share.rate;
    const wide required = (missing + per_microsecond - 1) / per_microsecond;
    return duration{static_cast<std::int64_t>(std::min(required, wide{duration::max().count()}))};
}

void token_bucket::clamp_level()
{
    if (m_share.level < capacity())
        return;
    m_share.level = capacity();
    m_remainder = 0;
}

} // namespace mulberry::shares
