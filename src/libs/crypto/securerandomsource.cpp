#include "libs/crypto/securerandomsource.h"

#include <cstdlib>

#include <sodium.h>

namespace mulberry {

secure_random_source::secure_random_source()
{
    if (sodium_init() < 0)
        std::abort(); // without libsodium, tokens and keys would be predictable
}

std::uint64_t secure_random_source::next()
{
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof value);
    return value;
}

} // namespace mulberry
