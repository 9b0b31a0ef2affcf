#include "app/mulberryd/httpfrontend.h"

#include "plugins/calls/headerpolicy.h"
#include "plugins/entry/problemdocument.h"

#include <utility>

namespace mulberry {

namespace {

caller_request to_caller_request(http_server_request request)
{
    std::string path = std::move(request.path);
    if (!request.query.empty()) {
        path += '?';
        path += request.query;
    }
    return {std::move(request.method), std::move(path), std::move(request.headers), std::move(request.body), {}};
}

entry_service::answer_callback answer_through(const std::shared_ptr<http_responder>& responder)
{
    return [responder](caller_answer answer) {
        responder->answer({answer.status, std::move(answer.headers), std::move(answer.body)});
    };
}

void cancel_when_gone(entry_service& entry, entry_handle handle, http_responder& responder)
{
    if (handle != 0)
        responder.on_caller_gone([&entry, handle] { entry.cancel(handle); });
}

} // namespace

void caller_frontend::on_request(http_server_request request, std::shared_ptr<http_responder> responder)
{
    if (!m_node.ready()) {
        const refusal why = not_run(refusal_reason::starting);
        return responder->answer({http_status(why.reason),
                                  {{"Content-Type", std::string(problem_content_type)}, {"Retry-After", "1"}},
                                  problem_document(why, {})});
    }
    entry_service& entry = m_node.entry();
    const entry_handle handle = entry.handle(to_caller_request(std::move(request)), answer_through(responder));
    cancel_when_gone(entry, handle, *responder);
}

void nested_frontend::on_request(http_server_request request, std::shared_ptr<http_responder> responder)
{
    const auto context = m_node.guard().find_context(find_header(request.headers, context_header));
    entry_service& entry = m_node.entry();
    const entry_handle handle =
        entry.handle_nested(context, to_caller_request(std::move(request)), answer_through(responder));
    cancel_when_gone(entry, handle, *responder);
}

} // namespace mulberry
