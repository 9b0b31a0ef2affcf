#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// A document at a store revision. A deleted document has no content, and its revision is that of the deletion.
struct config_document {
    std::string key;
    std::string content;
    std::int64_t revision = 0;
    bool deleted = false;

    bool operator==(const config_document&) const = default;
};

/// Is notified of each change of the view, after the change has been applied.
class config_listener {
public:
    config_listener() = default;
    config_listener(const config_listener&) = delete;
    config_listener& operator=(const config_listener&) = delete;
    virtual ~config_listener() = default;

    virtual void on_document_changed(const config_document& document) = 0;
};

namespace detail {

/// Documents by key. Checks the invariant that the revision of an entry never decreases.
class document_table {
public:
    /// Stores the document. Returns false and counts a violation of revision_monotonic if the table has a newer
    /// revision of the document, or the same revision with different contents.
    bool put(config_document document);
    const config_document* find(std::string_view key) const;
    const std::map<std::string, config_document, std::less<>>& entries() const { return m_entries; }

private:
    std::map<std::string, config_document, std::less<>> m_entries;
};

} // namespace detail

/// The configuration documents that this node holds. Only a higher revision replaces a document.
class config_view {
public:
    /// Applies a document if it is newer than the one in the view. Returns whether the view changed.
    bool apply(config_document document);

    /// The current document, or null if there is none or it is deleted.
    const config_document* find(std::string_view key) const;
    /// The current documents whose keys have the prefix, in key order, without deleted ones.
    std::vector<const config_document*> documents(std::string_view prefix = {}) const;
    /// The documents and tombstones with a higher revision than the given one, in revision order.
    std::vector<const config_document*> newer_than(std::int64_t revision) const;

    /// The store revision up to which this view has every change; 0 before the first complete load or reply.
    std::int64_t complete_revision() const { return m_complete_revision; }
    /// Raises the complete revision; a lower value is ignored.
    void set_complete(std::int64_t revision);
    /// The highest revision of a document or tombstone in the view.
    std::int64_t newest_revision() const { return m_newest_revision; }

    void add_listener(config_listener& listener);
    void remove_listener(config_listener& listener);

private:
    detail::document_table m_table;
    std::int64_t m_complete_revision = 0;
    std::int64_t m_newest_revision = 0;
    std::vector<config_listener*> m_listeners;
};

/// The store key of a service document.
std::string service_document_key(std::string_view service);
inline constexpr std::string_view organisations_document_key = "documents/organisations";
inline constexpr std::string_view documents_prefix = "documents/";

} // namespace mulberry
