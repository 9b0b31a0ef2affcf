#include "plugins/storerelay/storecopy.h"

#include <algorithm>

namespace mulberry {

namespace {

constexpr std::size_t max_deletions = 4096;

} // namespace

void store_copy::apply_snapshot(std::span<const store_entry> entries, std::int64_t revision)
{
    m_entries.clear();
    m_deletions.clear();
    for (const store_entry& entry : entries)
        m_entries[entry.key] = entry;
    m_revision = revision;
    m_deletions_known_after = revision;
}

void store_copy::apply_changes(std::span<const watch_event> events)
{
    for (const watch_event& event : events)
        apply(event);
}

void store_copy::apply(const watch_event& event)
{
    m_revision = std::max(m_revision, event.entry.mod_revision);
    const auto known = m_entries.find(event.entry.key);
    if (known != m_entries.end() && known->second.mod_revision > event.entry.mod_revision)
        return;
    if (!event.deleted) {
        m_entries[event.entry.key] = event.entry;
        return;
    }
    m_entries.erase(event.entry.key);
    m_deletions.push_back({event.entry.key, event.entry.mod_revision});
    if (m_deletions.size() <= max_deletions)
        return;
    m_deletions_known_after = m_deletions.front().revision;
    m_deletions.pop_front();
}

std::optional<std::vector<watch_event>> store_copy::changes_after(std::int64_t revision) const
{
    if (revision < m_deletions_known_after)
        return std::nullopt;
    std::vector<watch_event> changes;
    for (const auto& [key, entry] : m_entries) {
        if (entry.mod_revision > revision)
            changes.push_back({entry, false});
    }
    for (const deletion& each : m_deletions) {
        if (each.revision > revision && !m_entries.contains(each.key))
            changes.push_back({{each.key, {}, each.revision}, true});
    }
    std::ranges::sort(changes, {}, [](const watch_event& event) { return event.entry.mod_revision; });
    return changes;
}

std::vector<watch_event> store_copy::all_entries() const
{
    std::vector<watch_event> entries;
    entries.reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        entries.push_back({entry, false});
    return entries;
}

} // namespace mulberry
