#pragma once

#include "plugins/shares/messages.pb.h"
#include "plugins/shares/tokenbucket.h"

namespace mulberry::shares {

/// Largest total accepted from a message, so that differences cannot overflow.
constexpr std::int64_t max_total = std::int64_t{1} << 62;

/// Reads a total, clamped to the range from 0 to max_total.
share read_total(const messages::share_total& message);
void write_total(const share& total, messages::share_total& message);

} // namespace mulberry::shares
