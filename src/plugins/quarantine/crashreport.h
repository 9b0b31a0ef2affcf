#pragma once

#include "libs/base/time.h"
#include "plugins/calls/requestfingerprint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Identifies one crash of one upstream.
using crash_id = std::uint64_t;

/// What is known of requests that were running when an upstream crashed.
struct crash_report {
    crash_id id = 0;
    /// Time since the last crash of the requests.
    std::chrono::seconds age{0};
    /// Requests that may have caused the crash.
    std::vector<request_fingerprint> suspects;
    /// Requests that did not cause it, because upstreams have completed them.
    std::vector<request_fingerprint> cleared;
    /// The only suspect that had been running at earlier crashes too; 0 if there was none or more than one.
    request_fingerprint isolated_suspect = 0;
};

/// gossip: something new. sync_request: asks for the reports of the receiver if the digests differ. sync_response:
/// these reports; the receiver sends its own as gossip if the digests differ even then.
enum class quarantine_message_kind : std::uint8_t { gossip = 1, sync_request = 2, sync_response = 3 };

/// Message between the quarantine services of two nodes.
struct quarantine_message {
    quarantine_message_kind kind = quarantine_message_kind::gossip;
    std::vector<crash_report> reports;
    /// Digest of the sender's suspect_table; 0 for gossip.
    std::uint64_t digest = 0;
};

std::string encode(const quarantine_message& message);
/// Decodes a message; empty if it is malformed or exceeds the limits of its size.
std::optional<quarantine_message> decode_quarantine_message(std::string_view payload);

/// Maximum number of fingerprints in one message.
constexpr std::size_t max_message_fingerprints = 512;

} // namespace mulberry
