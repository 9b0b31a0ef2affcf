#include "fakes/fakecallnetwork.h"

#include "libs/base/asyncerror.h"

#include <unordered_map>
#include <utility>

namespace mulberry {

namespace {

// Time after which a ping detects a peer that no longer responds.
constexpr duration loss_detection = std::chrono::seconds(4);

} // namespace

class fake_call_network::node_transport final : public call_transport {
public:
    node_transport(fake_call_network& network, std::string name, node_timers& timers)
        : m_network(network), m_name(std::move(name)), m_timers(timers)
    {
    }

    call_id send(std::string_view node_name, const call_request& request, call_callback done) override;
    void cancel(call_id id) override;

private:
    struct outgoing_call {
        std::string to;
        attempt_id attempt;
        call_callback done;
    };

    void finish(call_id id, leaf::result<call_response> result)
    {
        auto node = m_calls.extract(id);
        if (!node.empty())
            node.mapped().done(std::move(result));
    }

    fake_call_network& m_network;
    std::string m_name;
    node_timers& m_timers;
    std::unordered_map<call_id, outgoing_call> m_calls;
    call_id m_last_id = 0;
};

call_id fake_call_network::node_transport::send(std::string_view node_name, const call_request& request,
                                                call_callback done)
{
    const call_id id = ++m_last_id;
    const std::string to(node_name);
    m_calls[id] = {to, request.attempt, std::move(done)};
    if (!m_network.connected(m_name, to)) {
        m_timers.schedule(m_network.draw_latency(),
                          [this, id] { finish(id, captured_error<call_response>(call_error::not_sent)); });
        return id;
    }
    auto bytes = std::make_shared<std::string>(encode(request).joined());
    const std::function<void(std::string)> deliver_response = m_timers.wrap_callback(std::function<void(std::string)>(
        [this, id](const std::string& encoded) { finish(id, decode_call_response(encoded)); }));
    const int copies = m_network.m_random.uniform_real() < m_network.m_faults.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (m_network.m_random.uniform_real() < m_network.m_faults.loss)
            continue;
        m_network.m_timers.schedule(m_network.draw_latency(),
                                    [&network = m_network, from = m_name, to, bytes, deliver_response] {
                                        network.deliver(from, to, bytes, deliver_response);
                                    });
    }
    m_timers.schedule(loss_detection + request.remaining,
                      [this, id] { finish(id, captured_error<call_response>(call_error::connection_lost)); });
    return id;
}

void fake_call_network::node_transport::cancel(call_id id)
{
    const auto node = m_calls.extract(id);
    if (node.empty())
        return;
    const outgoing_call& call = node.mapped();
    m_network.m_timers.schedule(
        m_network.draw_latency(), [&network = m_network, from = m_name, to = call.to, attempt = call.attempt] {
            if (!network.connected(from, to))
                return;
            const receiver& target = network.m_receivers[to];
            target.timers->wrap_callback(
                std::function<void()>([guard = target.guard, attempt] { guard->cancel(attempt); }))();
        });
}

std::unique_ptr<call_transport> fake_call_network::make_transport(const std::string& node, node_timers& timers)
{
    return std::make_unique<node_transport>(*this, node, timers);
}

void fake_call_network::attach(const std::string& node, guard_service* guard, node_timers* timers)
{
    m_receivers[node] = {guard, timers};
}

bool fake_call_network::connected(const std::string& from, const std::string& to)
{
    return m_receivers[to].guard != nullptr && m_groups[from] == m_groups[to];
}

duration fake_call_network::draw_latency()
{
    return m_faults.latency +
           duration{static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(m_faults.jitter.count())))};
}

void fake_call_network::deliver(const std::string& from, const std::string& to,
                                const std::shared_ptr<std::string>& bytes,
                                const std::function<void(std::string)>& deliver_response)
{
    if (!connected(from, to))
        return;
    const receiver target = m_receivers[to];
    const auto respond = [this, from, to, deliver_response](const call_response& reply) {
        if (!connected(to, from) || m_random.uniform_real() < m_faults.loss)
            return;
        m_timers.schedule(draw_latency(),
                          [deliver_response, encoded = encode(reply).joined()] { deliver_response(encoded); });
    };
    target.timers->wrap_callback(std::function<void()>([guard = target.guard, from, bytes, respond] {
        auto request = decode_call_request(*bytes);
        if (request)
            guard->handle(from, std::move(*request), respond);
    }))();
}

} // namespace mulberry
