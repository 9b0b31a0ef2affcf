#include "libs/peer/peercontrollink.h"

#include <array>

namespace mulberry {

namespace {

constexpr std::array all_channels{control_channel::membership, control_channel::configuration,
                                  control_channel::shares,     control_channel::account,
                                  control_channel::quota,      control_channel::quarantine};

std::optional<control_channel> channel_of(std::string_view path)
{
    if (!path.starts_with(peer_control_link::path_prefix))
        return std::nullopt;
    path.remove_prefix(peer_control_link::path_prefix.size());
    for (const control_channel channel : all_channels) {
        if (path == to_string(channel))
            return channel;
    }
    return std::nullopt;
}

} // namespace

void peer_control_link::attach(control_channel channel, control_handler* handler)
{
    m_handlers[channel] = handler;
}

void peer_control_link::send(std::string_view node_name, control_channel channel, std::string payload)
{
    auto& traffic = m_traffic[channel];
    if (!traffic)
        traffic = std::make_shared<control_traffic>();
    ++traffic->sent_messages;
    traffic->sent_bytes += payload.size();
    const std::optional<std::string> address = m_addresses.find_address(node_name);
    if (!address) {
        ++traffic->failed_messages;
        return;
    }
    std::string path(path_prefix);
    path += to_string(channel);
    m_caller.call(node_name, *address, path, std::move(payload), [traffic](const leaf::result<message_body>& response) {
        if (!response)
            ++traffic->failed_messages;
    });
}

void peer_control_link::on_call(peer_request request, std::shared_ptr<peer_responder> responder)
{
    const std::optional<control_channel> channel = channel_of(request.path);
    const auto handler = channel ? m_handlers.find(*channel) : m_handlers.end();
    if (handler == m_handlers.end() || handler->second == nullptr) {
        responder->reject();
        return;
    }
    auto& traffic = m_traffic[*channel];
    if (!traffic)
        traffic = std::make_shared<control_traffic>();
    ++traffic->received_messages;
    traffic->received_bytes += request.payload.size();
    handler->second->on_message(request.sender_name, request.payload);
    responder->respond({});
}

control_traffic peer_control_link::traffic(control_channel channel) const
{
    const auto found = m_traffic.find(channel);
    return found == m_traffic.end() ? control_traffic{} : *found->second;
}

} // namespace mulberry
