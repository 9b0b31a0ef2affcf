#pragma once

#include "plugins/membership/memberdirectory.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace mulberry {

/// A member directory whose content the test sets.
class fake_member_directory final : public member_directory {
public:
    std::span<const member> members() const override { return m_members; }

    std::span<const member> members_of(std::string_view service) const override
    {
        const auto of_service = [service](const member& each) { return each.service == service; };
        const auto begin = std::find_if(m_members.begin(), m_members.end(), of_service);
        return {begin, std::find_if_not(begin, m_members.end(), of_service)};
    }

    const member* find(std::string_view name) const override
    {
        const auto it = std::find_if(m_members.begin(), m_members.end(),
                                     [name](const member& each) { return each.id.name == name; });
        return it == m_members.end() ? nullptr : &*it;
    }

    void add_listener(member_listener& listener) override { m_listeners.push_back(&listener); }
    void remove_listener(member_listener& listener) override { std::erase(m_listeners, &listener); }

    /// Adds or replaces a member, or removes it if its state is dead, and notifies the listeners.
    void set(const member& changed)
    {
        std::erase_if(m_members, [&](const member& each) { return each.id.name == changed.id.name; });
        if (changed.state != member_state::dead)
            m_members.push_back(changed);
        std::sort(m_members.begin(), m_members.end(), [](const member& a, const member& b) {
            return std::tie(a.service, a.id.name) < std::tie(b.service, b.id.name);
        });
        const std::vector<member_listener*> listeners = m_listeners;
        for (member_listener* listener : listeners)
            listener->on_member_changed(changed);
    }

private:
    std::vector<member> m_members;
    std::vector<member_listener*> m_listeners;
};

} // namespace mulberry
