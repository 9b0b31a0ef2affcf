#pragma once

#include "libs/base/time.h"
#include "libs/store/keyvaluestore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Asks a relay for the changes of the keys with a prefix.
struct relay_poll {
    std::string prefix;
    /// The sender has all changes up to this revision; 0 if it has none and needs all entries.
    std::int64_t after_revision = 0;
    /// How long the relay may hold the response back while there are no changes.
    duration wait{0};
};

enum class relay_status : std::uint8_t {
    /// The page has all changes after the requested revision.
    complete = 1,
    /// The relay does not know all deletions after the requested revision; the sender has to read all entries.
    history_gone = 2,
    /// The relay has no copy of these keys yet.
    not_followed = 3,
};

/// Response of a relay.
struct relay_page {
    relay_status status = relay_status::not_followed;
    /// The page has all changes up to this revision of the store that the relay knows.
    std::int64_t revision = 0;
    /// How long before the response the relay's copy was last known to be complete.
    duration age{0};
    /// How long the relay held the response back.
    duration held{0};
    std::vector<watch_event> events{};
    /// Whether changes are arriving at the relay at present, so that its copy will soon be up to date.
    bool receiving = false;
};

std::string encode(const relay_poll& poll);
std::string encode(const relay_page& page);

/// Decode a message of another node; empty if it is malformed or a value is out of range.
std::optional<relay_poll> decode_relay_poll(std::string_view payload);
std::optional<relay_page> decode_relay_page(std::string_view payload);

} // namespace mulberry
