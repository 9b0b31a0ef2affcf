#pragma once

#include "libs/base/time.h"
#include "libs/documents/documenterrors.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

constexpr duration default_view_age_limit = std::chrono::seconds(2);
constexpr duration max_view_age_limit = std::chrono::hours(1);

/// The entry for a key, which holds a salted hash in place of the key itself. The id is unique in the document and is
/// not secret.
struct organisation_key {
    static constexpr std::size_t salt_bytes = 16;
    static constexpr std::size_t hash_bytes = 32;

    std::string id;
    /// Exactly salt_bytes bytes.
    std::vector<std::uint8_t> salt;
    /// Exactly hash_bytes bytes.
    std::vector<std::uint8_t> hash;

    bool operator==(const organisation_key&) const = default;
};

/// A customer and its rate limit, which applies to all VMs together.
struct organisation {
    std::string name;
    /// Requests per second.
    double rate = 0;
    /// Number of requests that may arrive at once.
    double burst = 0;
    std::vector<organisation_key> keys;

    bool operator==(const organisation&) const = default;
};

/// The organisations of a deployment and their keys.
struct organisations_document {
    /// Keyed requests are refused if the node's view of the documents is older than this.
    duration view_age_limit = default_view_age_limit;
    std::vector<organisation> organisations;

    /// Returns null if there is no organisation of that name.
    const organisation* find(std::string_view name) const;
    bool operator==(const organisations_document&) const = default;
};

/// Parses and validates the organisations document. Fails with document_errors, in which `file` is the file name.
leaf::result<organisations_document> parse_organisations_document(std::string_view text, std::string_view file);

/// Returns a TOML text that parses to an equal document. It contains no comments.
std::string to_toml(const organisations_document& document);

} // namespace mulberry
