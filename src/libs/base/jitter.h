#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/time.h"

namespace mulberry {

/// Returns a random interval of 0.5 to 1.5 times the given one, so that callers that wait for the same event do not all
/// retry at the same time.
inline duration with_jitter(duration interval, random_source& random)
{
    return from_seconds(to_seconds(interval) * (0.5 + random.uniform_real()));
}

} // namespace mulberry
