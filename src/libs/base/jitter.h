#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/time.h"

namespace mulberry {

/// 0.5 to 1.5 times the interval, so that those who wait for the same reason don't come back together.
inline duration jittered(duration interval, random_source& random)
{
    return from_seconds(to_seconds(interval) * (0.5 + random.unit()));
}

} // namespace mulberry
