#include "plugins/membership/membershipimplementation.h"

#include <utility>

namespace mulberry {

membership::membership(membership_settings settings, timer_service& timers, random_source& random, control_link& link,
                       key_value_store* store)
    : m_implementation(std::make_unique<implementation>(std::move(settings), timers, random, link, store))
{
}

membership::~membership() = default;

const member& membership::self() const
{
    return m_implementation->self();
}

std::span<const member> membership::members() const
{
    return m_implementation->table().members();
}

std::span<const member> membership::members_of(std::string_view service) const
{
    return m_implementation->table().members_of(service);
}

const member* membership::find(std::string_view name) const
{
    return m_implementation->table().find(name);
}

std::optional<std::string> membership::address_of(std::string_view name) const
{
    return m_implementation->address_of(name);
}

void membership::add_listener(member_listener& listener)
{
    m_implementation->m_listeners.push_back(&listener);
}

void membership::remove_listener(member_listener& listener)
{
    std::erase(m_implementation->m_listeners, &listener);
}

void membership::set_own_state(member_state state)
{
    m_implementation->set_own_state(state);
}

void membership::set_own_epoch(std::uint64_t epoch)
{
    m_implementation->set_own_epoch(epoch);
}

void membership::on_superseded(std::function<void(std::uint64_t)> callback)
{
    m_implementation->m_on_superseded = std::move(callback);
}

bool membership::has_joined() const
{
    return m_implementation->has_joined();
}

void membership::on_message(std::string_view from, std::string_view payload)
{
    m_implementation->receive(from, payload);
}

} // namespace mulberry
