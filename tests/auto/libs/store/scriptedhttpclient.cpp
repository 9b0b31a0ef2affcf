#include "scriptedhttpclient.h"

#include "libs/base/asyncerror.h"

namespace mulberry {

leaf::result<http_response> scripted_http_client::result_of(const scripted_response& response)
{
    if (response.error)
        return captured_error<http_response>(*response.error);
    return http_response{response.status, {}, response.body};
}

http_call_id scripted_http_client::send(http_request request, http_callback done)
{
    const http_call_id id = ++m_last_id;
    requests.push_back(std::move(request));
    if (script.empty())
        return id;
    m_calls[id] = std::move(done);
    m_timers.schedule(duration{1000}, [this, id, response = script.front()] {
        if (const auto call = m_calls.extract(id))
            call.mapped()(result_of(response));
    });
    script.pop_front();
    return id;
}

void scripted_http_client::cancel(http_call_id id)
{
    cancelled_calls.push_back(id);
    m_calls.erase(id);
    m_streams.erase(id);
}

http_call_id scripted_http_client::stream(http_request request, std::function<void(std::string_view)> on_piece,
                                          http_callback done)
{
    requests.push_back(std::move(request));
    m_streams[++m_last_id] = {std::move(on_piece), std::move(done)};
    return m_last_id;
}

void scripted_http_client::send_piece(std::string_view text)
{
    // The callback is copied, because it may cancel the watch and so destroy the original.
    if (!m_streams.empty())
        std::function(m_streams.begin()->second.on_piece)(text);
}

void scripted_http_client::finish_stream(const scripted_response& response)
{
    if (m_streams.empty())
        return;
    const auto ended = m_streams.extract(m_streams.begin());
    ended.mapped().done(result_of(response));
}

} // namespace mulberry
