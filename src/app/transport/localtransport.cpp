#include "app/transport/localtransport.h"

#include <utility>

namespace mulberry {

local_transport::local_transport(std::string own_name, timer_service& timers, guard_service& guard,
                                 call_transport& network)
    : m_own_name(std::move(own_name)), m_timers(timers), m_guard(guard), m_network(network)
{
}

call_id local_transport::send(std::string_view node_name, const call_request& request, call_callback done)
{
    const call_id id = ++m_last_id;
    m_calls[id].done = std::move(done);
    if (node_name == m_own_name) {
        m_timers.schedule(duration{0}, [this, id, request] { deliver_to_guard(id, request); });
        return id;
    }
    m_calls[id].remote = m_network.send(
        node_name, request, [this, id](leaf::result<call_response> result) { finish(id, std::move(result)); });
    return id;
}

void local_transport::deliver_to_guard(call_id id, const call_request& request)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return; // cancelled before it was passed to the guard
    it->second.local = request.attempt;
    m_guard.handle(m_own_name, request, [this, id](call_response response) {
        // The response is delivered from a timer, because the entry must not be called back while it calls the guard.
        m_timers.schedule(duration{0}, [this, id, response = std::move(response)] { finish(id, response); });
    });
}

void local_transport::finish(call_id id, leaf::result<call_response> result)
{
    auto call = m_calls.extract(id);
    if (!call.empty())
        call.mapped().done(std::move(result));
}

void local_transport::cancel(call_id id)
{
    auto call = m_calls.extract(id);
    if (call.empty())
        return;
    if (call.mapped().remote != 0)
        return m_network.cancel(call.mapped().remote);
    if (call.mapped().local.sequence != 0)
        m_guard.cancel(call.mapped().local);
}

} // namespace mulberry
