#include "fakes/fakecontrolnetwork.h"

#include <utility>

namespace mulberry {

class fake_control_network::node_link final : public control_link {
public:
    node_link(fake_control_network& network, std::string name) : m_network(network), m_name(std::move(name)) {}

    void send(std::string_view node_name, control_channel channel, std::string payload) override
    {
        m_network.send(m_name, node_name, channel, std::move(payload));
    }

private:
    fake_control_network& m_network;
    std::string m_name;
};

fake_control_network::fake_control_network(timer_service& timers, random_source& random)
    : m_timers(timers), m_random(random)
{
}

fake_control_network::~fake_control_network() = default;

control_link& fake_control_network::link(const std::string& node)
{
    auto& slot = m_links[node];
    if (!slot)
        slot = std::make_unique<node_link>(*this, node);
    return *slot;
}

void fake_control_network::attach(const std::string& node, control_channel channel, control_handler* handler)
{
    m_handlers[{node, channel}] = handler;
}

void fake_control_network::send(const std::string& from, std::string_view to, control_channel channel,
                                std::string payload)
{
    count(from, payload.size());
    auto shared = std::make_shared<std::string>(std::move(payload));
    const int copies = m_random.uniform_real() < m_faults.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (m_random.uniform_real() < m_faults.loss)
            continue;
        m_timers.schedule(draw_latency(), [this, from, destination = std::string(to), channel, shared] {
            deliver(from, destination, channel, shared);
        });
    }
}

void fake_control_network::deliver(const std::string& from, const std::string& to, control_channel channel,
                                   const std::shared_ptr<std::string>& payload)
{
    if (m_groups[from] != m_groups[to])
        return;
    const auto it = m_handlers.find({to, channel});
    if (it == m_handlers.end() || it->second == nullptr)
        return;
    count(to, payload->size());
    it->second->on_message(from, *payload);
}

duration fake_control_network::draw_latency()
{
    return m_faults.latency +
           duration{static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(m_faults.jitter.count())))};
}

void fake_control_network::count(const std::string& node, std::size_t bytes)
{
    traffic& entry = m_traffic[node];
    entry.bytes += bytes;
    ++entry.messages;
}

std::uint64_t fake_control_network::bytes(const std::string& node) const
{
    const auto it = m_traffic.find(node);
    return it == m_traffic.end() ? 0 : it->second.bytes;
}

std::uint64_t fake_control_network::messages(const std::string& node) const
{
    const auto it = m_traffic.find(node);
    return it == m_traffic.end() ? 0 : it->second.messages;
}

} // namespace mulberry
