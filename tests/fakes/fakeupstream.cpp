#include "fakes/fakeupstream.h"

#include "libs/base/asyncerror.h"

#include <utility>

namespace mulberry {

http_call_id fake_upstream::send(http_request request, http_callback done)
{
    const http_call_id id = ++m_last_id;
    const duration timeout = request.timeout;
    m_running[id] = {std::move(request), std::move(done)};
    if (m_is_down || m_random.uniform_real() < m_faults.unreachable) {
        m_timers.schedule(duration{0}, [this, id] { finish(id, captured_error<http_response>(http_error::not_sent)); });
        return id;
    }
    m_timers.schedule(timeout, [this, id] { finish(id, captured_error<http_response>(http_error::timed_out)); });
    m_timers.schedule(duration{0}, [this, id] { serve(id); });
    return id;
}

void fake_upstream::crash(duration downtime)
{
    if (m_is_down)
        return;
    m_is_down = true;
    for (auto& [id, lost] : std::exchange(m_running, {}))
        lost.done(captured_error<http_response>(http_error::connection_lost));
    m_timers.schedule(downtime, [this] {
        m_is_down = false;
        if (m_restart_observer)
            m_restart_observer();
    });
}

void fake_upstream::serve(http_call_id id)
{
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return;
    if (m_random.uniform_real() < m_faults.shed)
        return finish(id, http_response{503, {}, "busy"});
    const http_request request = it->second.request;
    m_last_headers = request.headers;
    if (m_observer)
        m_observer(request);
    if (m_crash_trigger.matches && m_crash_trigger.matches(request))
        m_timers.schedule(m_crash_trigger.delay, [this] { crash(m_crash_trigger.downtime); });
    const auto complete = [this, id, body = request.body] {
        m_timers.schedule(m_faults.service_time, [this, id, body] {
            if (m_random.uniform_real() < m_faults.lost_response)
                return finish(id, captured_error<http_response>(http_error::connection_lost));
            finish(id, http_response{200, m_response_headers, body});
        });
    };
    if (m_nested_call)
        return m_nested_call(request, complete);
    complete();
}

void fake_upstream::finish(http_call_id id, leaf::result<http_response> result)
{
    auto node = m_running.extract(id);
    if (!node.empty())
        node.mapped().done(std::move(result));
}

void fake_upstream::cancel(http_call_id id)
{
    m_running.erase(id);
}

http_call_id fake_upstream::stream(http_request request, std::function<void(std::string_view)>, http_callback done)
{
    return send(std::move(request), std::move(done));
}

} // namespace mulberry
