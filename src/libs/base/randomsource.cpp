#include "libs/base/randomsource.h"

namespace mulberry {

namespace {

/// Precision of a double.
constexpr int mantissa_bits = 53;

} // namespace

std::uint64_t random_source::uniform(std::uint64_t bound)
{
    if (bound == 0)
        return 0;
    return next() % bound; // the bounds in use are below 2^32, so the modulo bias is below 2^-32
}

double random_source::uniform_real()
{
    return static_cast<double>(next() >> (64 - mantissa_bits)) / static_cast<double>(1ULL << mantissa_bits);
}

} // namespace mulberry
