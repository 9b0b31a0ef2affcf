#include "plugins/calls/requestfingerprint.h"

#include <algorithm>

#include <xxhash.h>

namespace mulberry {

request_fingerprint fingerprint_of(const request_content& content)
{
    // The hash of each field is the seed of the next, so that bytes cannot move from one field to another.
    std::uint64_t hash = 0;
    for (const std::string_view field :
         {content.organisation, content.method, content.authority, content.path, content.body})
        hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
    return std::max<request_fingerprint>(hash, 1);
}

} // namespace mulberry
