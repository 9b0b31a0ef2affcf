#include "app/mulberryd/httpfrontend.h"

#include "plugins/calls/headerpolicy.h"
#include "plugins/entry/problemdocument.h"

#include <utility>

namespace mulberry {

namespace {

caller_response starting_response()
{
    const refusal why = not_run_refusal(refusal_reason::starting);
    return {http_status(why.reason),
            {{"Content-Type", std::string(problem_content_type)}, {"Retry-After", "1"}},
            problem_document(why, {})};
}

} // namespace

std::unique_ptr<caller_port> make_caller_frontend(node& owner)
{
    const auto begin = [&owner](caller_request request, entry_service::response_callback done) -> entry_handle {
        if (owner.ready())
            return owner.entry().handle(std::move(request), std::move(done));
        done(starting_response());
        return 0;
    };
    return std::make_unique<caller_port>(owner.entry(), begin);
}

std::unique_ptr<caller_port> make_nested_frontend(node& owner)
{
    const auto begin = [&owner](caller_request request, entry_service::response_callback done) {
        const auto context = owner.guard().find_context(find_header(request.headers, context_header));
        return owner.entry().handle_nested(context, std::move(request), std::move(done));
    };
    return std::make_unique<caller_port>(owner.entry(), begin);
}

} // namespace mulberry
