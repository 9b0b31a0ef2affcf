#pragma once

#include <cstdint>
#include <random>

namespace mulberry {

/// Source of random numbers for decisions such as jitter and sampling. Implementations need not be secure; use
/// secure_random_source for secrets.
class random_source {
public:
    random_source() = default;
    random_source(const random_source&) = delete;
    random_source& operator=(const random_source&) = delete;
    virtual ~random_source() = default;

    /// Returns 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;

    /// Returns a uniformly distributed integer in [0, bound), or 0 if the bound is 0.
    std::uint64_t uniform(std::uint64_t bound);

    /// Returns a uniformly distributed number in [0, 1).
    double uniform_real();
};

/// Mersenne Twister with an explicit seed, which makes runs reproducible.
class seeded_random_source final : public random_source {
public:
    explicit seeded_random_source(std::uint64_t seed) : m_engine(seed) {}

    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace mulberry
