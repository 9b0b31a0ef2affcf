#include "plugins/configuration/configview.h"

#include "libs/base/invariant.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace detail {

bool document_table::put(config_document document)
{
    const auto it = m_entries.find(document.key);
    if (it == m_entries.end()) {
        m_entries.emplace(document.key, std::move(document));
        return true;
    }
    const bool is_newer = document.revision > it->second.revision;
    const bool is_identical = document == it->second;
    if (!invariant_monitor::instance().check(is_newer || is_identical, invariant::revision_monotonic, document.key))
        return false;
    it->second = std::move(document);
    return true;
}

const config_document* document_table::find(std::string_view key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

} // namespace detail

bool config_view::apply(config_document document)
{
    const config_document* current = m_table.find(document.key);
    // Late and duplicate messages are expected and ignored. The same revision with different contents is a fault, which
    // `put` reports.
    if (current != nullptr && (current->revision > document.revision || *current == document))
        return false;
    const std::string key = document.key;
    const std::int64_t revision = document.revision;
    if (!m_table.put(std::move(document)))
        return false;
    m_newest_revision = std::max(m_newest_revision, revision);
    const config_document changed = *m_table.find(key);
    for (config_listener* listener : m_listeners)
        listener->on_document_changed(changed);
    return true;
}

const config_document* config_view::find(std::string_view key) const
{
    const config_document* current = m_table.find(key);
    return current == nullptr || current->deleted ? nullptr : current;
}

std::vector<const config_document*> config_view::documents(std::string_view prefix) const
{
    std::vector<const config_document*> found;
    const auto& entries = m_table.entries();
    for (auto it = entries.lower_bound(prefix); it != entries.end() && it->first.starts_with(prefix); ++it) {
        if (!it->second.deleted)
            found.push_back(&it->second);
    }
    return found;
}

std::vector<const config_document*> config_view::newer_than(std::int64_t revision) const
{
    std::vector<const config_document*> found;
    if (m_newest_revision <= revision)
        return found;
    for (const auto& [key, document] : m_table.entries()) {
        if (document.revision > revision)
            found.push_back(&document);
    }
    std::sort(found.begin(), found.end(), [](const auto* a, const auto* b) { return a->revision < b->revision; });
    return found;
}

void config_view::set_complete(std::int64_t revision)
{
    m_complete_revision = std::max(m_complete_revision, revision);
}

void config_view::add_listener(config_listener& listener)
{
    m_listeners.push_back(&listener);
}

void config_view::remove_listener(config_listener& listener)
{
    std::erase(m_listeners, &listener);
}

std::string service_document_key(std::string_view service)
{
    return std::string(documents_prefix) + std::string(service);
}

} // namespace mulberry
