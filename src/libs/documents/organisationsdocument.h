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
constexpr duration longest_view_age_limit = std::chrono::hours(1);

/// What the document holds of a key. The id is unique in the document and is no secret.
struct organisation_key {
    static constexpr std::size_t salt_bytes = 16;
    static constexpr std::size_t hash_bytes = 32;

    std::string id;
    /// As many bytes as the constants say.
    std::vector<std::uint8_t> salt;
    std::vector<std::uint8_t> hash;

    bool operator==(const organisation_key&) const = default;
};

/// A customer with its limits across all VMs together.
struct organisation {
    std::string name;
    /// Requests per second.
    double rate = 0;
    /// Requests that may come at once.
    double burst = 0;
    std::vector<organisation_key> keys;

    bool operator==(const organisation&) const = default;
};

/// The organisations of a deployment and their keys.
struct organisations_document {
    /// Keyed requests are refused when the node's view of the documents is older.
    duration view_age_limit = default_view_age_limit;
    std::vector<organisation> organisations;

    /// Null if there is no organisation of that name.
    const organisation* find(std::string_view name) const;
    bool operator==(const organisations_document&) const = default;
};

/// Parses and checks the organisations document. Fails with document_errors, which names the file.
leaf::result<organisations_document> parse_organisations_document(std::string_view text, std::string_view file);

/// TOML text that parses to an equal document. Comments of an earlier text are not kept.
std::string to_toml(const organisations_document& document);

} // namespace mulberry
