#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberry {

/// The plugin to which a control message belongs. The numeric values are part of the protocol between daemons.
enum class control_channel : std::uint8_t {
    membership = 1,
    configuration = 2,
    shares = 3,
    account = 4,
    quota = 5,
    quarantine = 6
};

/// Returns the name of the channel, as used in metrics and in the path of its stream.
std::string_view to_string(control_channel channel);

/// Sends control messages to other nodes, which are addressed by name. Delivery is best effort: messages may be lost,
/// delayed, duplicated or reordered. A message to an unreachable node is dropped.
class control_link {
public:
    control_link() = default;
    control_link(const control_link&) = delete;
    control_link& operator=(const control_link&) = delete;
    virtual ~control_link() = default;

    virtual void send(std::string_view node_name, control_channel channel, std::string payload) = 0;
};

/// Receives the control messages of one channel. The sender's name has been authenticated. The payload is untrusted and
/// must be validated.
class control_handler {
public:
    control_handler() = default;
    control_handler(const control_handler&) = delete;
    control_handler& operator=(const control_handler&) = delete;
    virtual ~control_handler() = default;

    virtual void on_message(std::string_view from, std::string_view payload) = 0;
};

} // namespace mulberry
