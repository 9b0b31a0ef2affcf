#include "app/transport/peertransport.h"

#include "libs/base/asyncerror.h"

#include <utility>

namespace mulberry {

namespace {

call_error call_error_of(peer_error error)
{
    return is_certainly_unprocessed(error) ? call_error::not_sent : call_error::connection_lost;
}

/// The fields of a call are held decoded and as the message to the upstream.
constexpr std::size_t field_copies = 2;

call_response memory_refusal(const call_request& request)
{
    call_response response;
    response.receiver = request.receiver;
    response.sequence = request.attempt.sequence;
    response.result = outcome::not_run;
    response.reason = refusal_reason::queue_full;
    response.unused_retries = request.retries;
    return response;
}

leaf::result<call_response> to_call_response(leaf::result<message_body> result)
{
    if (result) {
        auto response = decode_call_response(*result);
        // The response has arrived, so it is not given up for its fields.
        if (response)
            static_cast<void>(result->reserve_more(held_bytes(response->headers)));
        return response;
    }
    const peer_error error = error_of(std::move(result), peer_error::connection_lost);
    return captured_error<call_response>(call_error_of(error));
}

} // namespace

peer_transport::peer_transport(timer_service& timers, peer_caller& peers, const address_lookup& addresses)
    : m_timers(timers), m_peers(peers), m_addresses(addresses)
{
}

call_id peer_transport::send(std::string_view node_name, const call_request& request, call_callback done)
{
    const call_id id = ++m_last_id;
    m_calls[id].done = std::move(done);
    const auto address = m_addresses.find_address(node_name);
    if (!address) {
        m_timers.schedule(duration{0}, [this, id] { finish(id, captured_error<call_response>(call_error::not_sent)); });
        return id;
    }
    m_calls[id].peer_call =
        m_peers.call(node_name, *address, call_path, encode(request), [this, id](leaf::result<message_body> result) {
            finish(id, to_call_response(std::move(result)));
        });
    return id;
}

void peer_transport::finish(call_id id, leaf::result<call_response> result)
{
    auto call = m_calls.extract(id);
    if (!call.empty())
        call.mapped().done(std::move(result));
}

void peer_transport::cancel(call_id id)
{
    auto call = m_calls.extract(id);
    if (!call.empty() && call.mapped().peer_call != 0)
        m_peers.cancel(call.mapped().peer_call);
}

void call_handler::on_call(peer_request request, std::shared_ptr<peer_responder> responder)
{
    auto decoded = decode_call_request(request.payload);
    if (!decoded)
        return responder->reject();
    const attempt_id id = decoded->attempt;
    if (id.sender.name != request.sender_name)
        return responder->reject();
    if (!request.payload.reserve_more(field_copies * held_bytes(decoded->headers)))
        return responder->respond(encode(memory_refusal(*decoded)));
    responder->on_cancelled([this, id] { m_guard.cancel(id); });
    m_guard.handle(request.sender_name, std::move(*decoded),
                   [responder](const call_response& response) { responder->respond(encode(response)); });
}

} // namespace mulberry
