#pragma once

#include "libs/base/randomsource.h"

namespace mulberry {

/// Random numbers that cannot be predicted, from libsodium. For tokens and keys.
class secure_random_source final : public random_source {
public:
    secure_random_source();

    std::uint64_t next() override;
};

} // namespace mulberry
