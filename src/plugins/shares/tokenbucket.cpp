#include "plugins/shares/tokenbucket.h"

#include <algorithm>

namespace mulberry::shares {

namespace {

__extension__ using wide = __int128;

constexpr std::int64_t microseconds_per_second = 1'000'000;
constexpr wide remainder_unit = wide{whole} * microseconds_per_second;

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
    const wide arrived = wide{m_limits.rate} * m_held.rate * elapsed + m_remainder;
    const wide room = capacity() - m_held.level;
    if (arrived / remainder_unit >= room) {
        m_held.level = capacity();
        m_remainder = 0;
        return;
    }
    m_held.level += static_cast<micro_tokens>(arrived / remainder_unit);
    m_remainder = static_cast<std::int64_t>(arrived % remainder_unit);
}

void token_bucket::set_limits(figure limits)
{
    m_limits = {std::clamp(limits.rate, micro_tokens{0}, max_rate),
                std::clamp(limits.burst, micro_tokens{0}, max_burst)};
    clip();
}

bool token_bucket::take(micro_tokens amount)
{
    if (m_held.level < amount)
        return false;
    m_held.level -= amount;
    return true;
}

share token_bucket::split(const share& wanted)
{
    share result{std::clamp(wanted.rate, parts{0}, m_held.rate), std::clamp(wanted.capacity, parts{0}, m_held.capacity),
                 0};
    const micro_tokens fits = scaled(m_limits.burst, result.capacity, whole);
    result.level = std::clamp(wanted.level, micro_tokens{0}, std::min(m_held.level, fits));
    m_held -= result;
    clip();
    return result;
}

void token_bucket::merge(const share& added)
{
    m_held += added;
    clip();
}

share token_bucket::release()
{
    const share result = m_held;
    m_held = {};
    m_remainder = 0;
    return result;
}

void token_bucket::add(micro_tokens amount)
{
    m_held.level += amount;
    clip();
}

duration token_bucket::time_until(micro_tokens level) const
{
    if (m_held.level >= level)
        return duration{0};
    if (level > capacity() || m_limits.rate == 0 || m_held.rate == 0)
        return duration::max();
    const wide missing = wide{level - m_held.level} * remainder_unit - m_remainder;
    const wide per_microsecond = wide{m_limits.rate} * m_held.rate;
    const wide needed = (missing + per_microsecond - 1) / per_microsecond;
    return duration{static_cast<std::int64_t>(std::min(needed, wide{duration::max().count()}))};
}

void token_bucket::clip()
{
    if (m_held.level < capacity())
        return;
    m_held.level = capacity();
    m_remainder = 0;
}

} // namespace mulberry::shares
