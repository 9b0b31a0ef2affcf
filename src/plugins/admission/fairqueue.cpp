#include "plugins/admission/fairqueue.h"

#include <algorithm>
#include <utility>

namespace mulberry::detail {

void fair_queue::push(waiting_request item)
{
    const auto index = static_cast<std::size_t>(item.request.level);
    level_queue& level = m_levels[index];
    const auto owner = level.flows.try_emplace(item.request.organisation).first;
    auto& [entries, tag, ready_order] = owner->second;
    if (entries.empty()) {
        tag = std::max(tag, level.virtual_time);
        ready_order = ++m_last_ready_order;
        level.ready.emplace(tag, ready_order, owner->first);
    }
    const auto position = entries.insert(entries.end(), entry{std::move(item), {}});
    position->age_position = level.requests_by_age.insert(level.requests_by_age.end(), &position->item);
    m_index.emplace(position->item.request.id, location{index, owner, position});
    ++level.size;
}

std::optional<waiting_request> fair_queue::pop()
{
    for (std::size_t index = m_levels.size(); index-- > 0;) {
        level_queue& level = m_levels[index];
        if (level.ready.empty())
            continue;
        const auto [tag, ready_order, organisation] = *level.ready.begin();
        level.ready.erase(level.ready.begin());
        const auto owner = level.flows.find(organisation);
        level.virtual_time = tag;
        owner->second.tag = tag + 1;
        owner->second.ready_order = ++m_last_ready_order;
        level.ready.emplace(owner->second.tag, owner->second.ready_order, owner->first);
        auto& entries = owner->second.entries;
        const auto position = m_order == queue_order::oldest_first ? entries.begin() : std::prev(entries.end());
        return take({index, owner, position});
    }
    return std::nullopt;
}

std::optional<waiting_request> fair_queue::remove(const attempt_id& id)
{
    const auto it = m_index.find(id);
    if (it == m_index.end())
        return std::nullopt;
    return take(location{it->second});
}

std::optional<waiting_request> fair_queue::evict()
{
    for (std::size_t index = 0; index < m_levels.size(); ++index) {
        level_queue& level = m_levels[index];
        if (level.ready.empty())
            continue;
        auto last = level.flows.end();
        double last_end = 0;
        for (const auto& [tag, ready_order, organisation] : level.ready) {
            const auto owner = level.flows.find(organisation);
            const double end = tag + static_cast<double>(owner->second.entries.size());
            if (last == level.flows.end() || end >= last_end) {
                last = owner;
                last_end = end;
            }
        }
        return take_last_admitted(index, last);
    }
    return std::nullopt;
}

waiting_request fair_queue::take_last_admitted(std::size_t level, flow_map::iterator source)
{
    auto& entries = source->second.entries;
    const auto position = m_order == queue_order::oldest_first ? std::prev(entries.end()) : entries.begin();
    return take({level, source, position});
}

std::vector<waiting_request> fair_queue::take_less_important(importance level)
{
    std::vector<waiting_request> removed_requests;
    for (std::size_t index = 0; index < static_cast<std::size_t>(level); ++index) {
        level_queue& queue = m_levels[index];
        while (!queue.ready.empty())
            removed_requests.push_back(take_last_admitted(index, queue.flows.find(std::get<2>(*queue.ready.begin()))));
    }
    return removed_requests;
}

const waiting_request* fair_queue::oldest(importance level) const
{
    const auto& requests_by_age = m_levels[static_cast<std::size_t>(level)].requests_by_age;
    return requests_by_age.empty() ? nullptr : requests_by_age.front();
}

importance fair_queue::lowest_importance() const
{
    const auto it = std::ranges::find_if(m_levels, [](const level_queue& level) { return level.size > 0; });
    return it == m_levels.end() ? importance::critical : static_cast<importance>(it - m_levels.begin());
}

std::size_t fair_queue::size_at_or_above(importance level) const
{
    std::size_t total = 0;
    for (std::size_t index = static_cast<std::size_t>(level); index < m_levels.size(); ++index)
        total += m_levels[index].size;
    return total;
}

waiting_request fair_queue::take(const location& position_in_queue)
{
    level_queue& level = m_levels[position_in_queue.level];
    flow& owner = position_in_queue.source->second;
    waiting_request item = std::move(position_in_queue.position->item);
    level.requests_by_age.erase(position_in_queue.position->age_position);
    m_index.erase(item.request.id);
    owner.entries.erase(position_in_queue.position);
    --level.size;
    if (owner.entries.empty())
        level.ready.erase({owner.tag, owner.ready_order, position_in_queue.source->first});
    // An empty level ends its busy period, after which no organisation has an advantage over another.
    if (level.size == 0) {
        level.flows.clear();
        level.virtual_time = 0;
    }
    return item;
}

} // namespace mulberry::detail
