#pragma once

#include "libs/base/randomsource.h"

namespace mulberry {

/// Cryptographically secure random numbers from libsodium, for tokens and keys.
class secure_random_source final : public random_source {
public:
    /// Aborts the process if libsodium cannot be initialised.
    secure_random_source();

    std::uint64_t next() override;
};

} // namespace mulberry
