#pragma once

#include "libs/store/keyvaluestore.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace mulberry {

/// A node's copy of the entries with one prefix, from which it responds to the polls of other nodes. Changes are
/// derived from the present entries, so that an old value is never kept; only deletions need a history of their own.
class store_copy {
public:
    /// Replaces the copy by all entries as of a revision of the store.
    void apply_snapshot(std::span<const store_entry> entries, std::int64_t revision);
    /// Applies changes. An older change of a key than the copy has is ignored.
    void apply_changes(std::span<const watch_event> events);

    bool has_snapshot() const { return m_revision > 0; }
    /// The copy has all changes up to this revision.
    std::int64_t revision() const { return m_revision; }

    /// Returns all changes after a revision in the order of their revisions. Empty if deletions after it may be
    /// unknown.
    std::optional<std::vector<watch_event>> changes_after(std::int64_t revision) const;
    /// Returns all entries.
    std::vector<watch_event> all_entries() const;

private:
    struct deletion {
        std::string key;
        std::int64_t revision = 0;
    };

    void apply(const watch_event& event);

    std::map<std::string, store_entry, std::less<>> m_entries;
    // In the order of their revisions.
    std::deque<deletion> m_deletions;
    std::int64_t m_revision = 0;
    // All deletions after this revision are known.
    std::int64_t m_deletions_known_after = 0;
};

} // namespace mulberry
