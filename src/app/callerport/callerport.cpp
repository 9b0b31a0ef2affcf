#include "app/callerport/callerport.h"

#include <utility>

namespace mulberry {

void caller_port::on_request(http1_request_id id, http1_request request, response_callback done)
{
    caller_request call;
    call.method = std::move(request.method);
    call.path = std::move(request.target);
    call.headers = std::move(request.headers);
    call.body = std::move(request.body);
    call.host = std::move(request.host);
    const entry_handle handle = m_begin(std::move(call), [this, id, done = std::move(done)](caller_response response) {
        m_handles.erase(id);
        done({response.status, std::move(response.headers), std::move(response.body)});
    });
    if (handle != 0)
        m_handles[id] = handle;
}

void caller_port::on_caller_gone(http1_request_id id)
{
    const auto extracted = m_handles.extract(id);
    if (!extracted.empty())
        m_entry.cancel(extracted.mapped());
}

} // namespace mulberry
