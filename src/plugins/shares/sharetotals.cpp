#include "plugins/shares/sharetotals.h"

#include <algorithm>

namespace mulberry::shares {

share read_total(const messages::share_total& message)
{
    const auto clamped = [](std::int64_t value) { return std::clamp(value, std::int64_t{0}, max_total); };
    return {clamped(message.rate()), clamped(message.capacity()), clamped(message.level())};
}

void write_total(const share& total, messages::share_total& message)
{
    message.set_rate(total.rate);
    message.set_capacity(total.capacity);
    message.set_level(total.level);
}

} // namespace mulberry::shares
