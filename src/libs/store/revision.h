#pragma once

#include <cstdint>
#include <string>

namespace mulberry {

/// A store that has been restored from an older copy gives out the revisions after that copy again. A revision of this
/// system therefore contains how often the store has been restored, its generation, in the upper bits: each revision
/// of a later generation is larger than all of earlier ones. Revisions of generation 0 are those of the store.
std::int64_t make_revision(std::int64_t generation, std::int64_t store_revision);

/// Returns how often the store had been restored at a revision.
std::int64_t generation_of(std::int64_t revision);

/// Returns the store's own number of a revision.
std::int64_t store_revision_of(std::int64_t revision);

/// Text of a revision for log lines: "17", or "2/17" in generation 2.
std::string format_revision(std::int64_t revision);

} // namespace mulberry
