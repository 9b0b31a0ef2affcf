#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// A document as of a store revision. A deleted document has no content; its revision is that of the deletion.
struct config_document {
    std::string key;
    std::string content;
    std::int64_t revision = 0;
    bool deleted = false;

    bool operator==(const config_document&) const = default;
};

/// Hears of each change of the view, after it is in force.
class config_listener {
public:
    config_listener() = default;
    config_listener(const config_listener&) = delete;
    config_listener& operator=(const config_listener&) = delete;
    virtual ~config_listener() = default;

    virtual void on_document_changed(const config_document& document) = 0;
};

namespace detail {

/// Documents by key. Asserts that no entry goes back to a lower revision.
class document_table {
public:
    /// Returns false, and counts a violation of revision_monotonic, if the document would replace a newer one or differ
    /// from one of the same revision.
    bool put(config_document document);
    const config_document* find(std::string_view key) const;
    const std::map<std::string, config_document, std::less<>>& entries() const { return m_entries; }

private:
    std::map<std::string, config_document, std::less<>> m_entries;
};

} // namespace detail

/// The documents that this node holds. A document is replaced by a higher revision only.
class config_view {
public:
    /// Applies a document if it is newer than the held one. Returns whether the view changed.
    bool apply(config_document document);

    /// The document in force, or null if there is none or it is deleted.
    const config_document* find(std::string_view key) const;
    /// The documents in force whose keys have the prefix, in key order; deleted ones are left out.
    std::vector<const config_document*> documents(std::string_view prefix = {}) const;
    /// The documents and tombstones above a revision, in revision order.
    std::vector<const config_document*> newer_than(std::int64_t revision) const;

    /// The store revision up to which this view has every change; 0 before the first whole answer.
    std::int64_t complete_revision() const { return m_complete_revision; }
    /// Raises the complete revision; a lower value is ignored.
    void set_complete(std::int64_t revision);
    /// The highest revision of a held document or tombstone.
    std::int64_t newest_revision() const { return m_newest_revision; }

    void add_listener(config_listener& listener);
    void remove_listener(config_listener& listener);

private:
    detail::document_table m_table;
    std::int64_t m_complete_revision = 0;
    std::int64_t m_newest_revision = 0;
    std::vector<config_listener*> m_listeners;
};

/// Key of the document of a service.
std::string service_document_key(std::string_view service);
inline constexpr std::string_view organisations_document_key = "documents/organisations";
inline constexpr std::string_view documents_prefix = "documents/";

} // namespace mulberry
