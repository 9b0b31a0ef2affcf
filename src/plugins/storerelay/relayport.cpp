#include "plugins/storerelay/relayport.h"

#include "libs/base/log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberry {

namespace {

constexpr duration max_wait = std::chrono::seconds(30);

} // namespace

relay_port::relay_port(relayed_store& store, timer_service& timers) : m_store(store), m_timers(timers)
{
    m_store.on_copy_changed([this](std::string_view prefix) { on_copy_changed(prefix); });
}

relay_port::~relay_port()
{
    m_store.on_copy_changed(nullptr);
    for (const auto& [id, held] : m_held)
        m_timers.cancel(held.timer);
}

void relay_port::on_call(peer_request request, std::shared_ptr<peer_responder> responder)
{
    auto poll = decode_relay_poll(request.payload);
    if (!poll) {
        log_warning("relay", "Rejected a malformed poll from {}.", request.sender_name);
        return responder->reject();
    }
    const relay_page page = make_page(*poll, m_timers.now());
    const bool has_news = page.status != relay_status::complete || !page.events.empty();
    if (has_news || poll->wait <= duration{0})
        return responder->respond(encode(page));
    hold(std::move(*poll), std::move(responder));
}

relay_page relay_port::make_page(const relay_poll& poll, time_point received_at) const
{
    relay_page page;
    const store_copy* copy = m_store.copy_of(poll.prefix);
    const auto confirmed_until = m_store.copy_confirmed_until(poll.prefix);
    if (copy == nullptr || !confirmed_until)
        return page;
    const time_point now = m_timers.now();
    page.revision = copy->revision();
    page.age = std::max(now - *confirmed_until, duration{0});
    page.held = now - received_at;
    page.receiving = m_store.copy_is_receiving(poll.prefix);
    auto changes = poll.after_revision == 0 ? copy->all_entries() : copy->changes_after(poll.after_revision);
    page.status = changes ? relay_status::complete : relay_status::history_gone;
    if (changes)
        page.events = std::move(*changes);
    return page;
}

void relay_port::hold(relay_poll poll, std::shared_ptr<peer_responder> responder)
{
    const std::uint64_t id = ++m_last_id;
    const duration wait = std::min(poll.wait, max_wait);
    responder->on_cancelled([this, id, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired())
            release(id);
    });
    const timer_id timer = m_timers.schedule(wait, [this, id] { respond(id); });
    m_held.emplace(id, held_poll{std::move(poll), m_timers.now(), std::move(responder), timer});
}

void relay_port::respond(std::uint64_t id)
{
    const auto held = m_held.find(id);
    if (held == m_held.end())
        return;
    held->second.responder->respond(encode(make_page(held->second.poll, held->second.received_at)));
    release(id);
}

void relay_port::release(std::uint64_t id)
{
    const auto held = m_held.extract(id);
    if (!held.empty())
        m_timers.cancel(held.mapped().timer);
}

void relay_port::on_copy_changed(std::string_view prefix)
{
    std::vector<std::uint64_t> due;
    for (const auto& [id, held] : m_held) {
        if (held.poll.prefix == prefix)
            due.push_back(id);
    }
    for (const std::uint64_t id : due)
        respond(id);
}

} // namespace mulberry
