#include "libs/peer/peerserver.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"
#include "libs/eventloop/eventloop.h"
#include "libs/eventloop/tcplistener.h"
#include "libs/peer/serverconnection.h"

#include <deque>
#include <set>

#include <boost/asio/ip/tcp.hpp>

namespace mulberry {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

} // namespace

class peer_server::implementation final : public detail::server_connection_owner,
                                          public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, std::shared_ptr<peer_security> security, peer_handler& handler,
                   const peer_settings& settings, std::shared_ptr<memory_budget> memory)
        : m_loop(loop), m_security(std::move(security)), m_handler(handler), m_settings(settings),
          m_memory(std::move(memory)),
          m_listener(loop, [this](tcp::socket socket) { accept_connection(std::move(socket)); })
    {
    }

    leaf::result<std::uint16_t> start(std::string_view address, std::uint16_t port)
    {
        error_code error;
        const std::uint16_t bound = m_listener.start(address, port, error);
        if (!error)
            return bound;
        log_error("peer", "Cannot listen on {}:{}: {}.", address, port, error.message());
        return captured_error<std::uint16_t>(peer_error::listen_failed);
    }

    void stop(std::function<void()> done)
    {
        m_stopping = true;
        m_on_stopped = std::move(done);
        m_listener.stop();
        for (const auto& connection : copy_of_connections())
            connection->drain();
        notify_if_stopped();
    }

    void shut_down()
    {
        m_shutting_down = true;
        m_on_stopped = nullptr;
        m_listener.stop();
        for (const auto& connection : copy_of_connections())
            connection->close();
    }

    void deliver(peer_request request, std::shared_ptr<detail::stream_responder> responder) override
    {
        m_loop.post(
            [weak = weak_from_this(), request = std::move(request), responder = std::move(responder)]() mutable {
                const auto self = weak.lock();
                if (self && !self->m_shutting_down && !responder->is_cancelled())
                    self->m_handler.on_call(std::move(request), std::move(responder));
            });
    }

    void post(std::function<void()> task) override { m_loop.post(std::move(task)); }

    std::shared_ptr<memory_budget> memory() const override { return m_memory; }

    bool reserve_bytes(std::size_t bytes) override
    {
        if (m_receiving_bytes + bytes > m_settings.max_receiving_bytes)
            return false;
        m_receiving_bytes += bytes;
        return true;
    }

    void release_bytes(std::size_t bytes) override { m_receiving_bytes -= bytes; }

    void on_connection_closed(detail::server_connection& connection) override
    {
        m_connections.erase(std::static_pointer_cast<detail::server_connection>(connection.shared_from_this()));
        notify_if_stopped();
    }

    const peer_counters& counters() const { return *m_counters; }
    std::size_t open_connections() const { return m_connections.size(); }

private:
    std::vector<std::shared_ptr<detail::server_connection>> copy_of_connections() const
    {
        return {m_connections.begin(), m_connections.end()};
    }

    void accept_connection(tcp::socket socket)
    {
        if (m_connections.size() >= m_settings.max_connections && !evict_stranger())
            return;
        auto connection = std::make_shared<detail::server_connection>(std::move(socket), m_security, m_settings,
                                                                      m_counters, weak_from_this());
        m_connections.insert(connection);
        std::erase_if(m_new_connections, [](const auto& each) {
            const auto existing = each.lock();
            return !existing || existing->has_accepted_call();
        });
        m_new_connections.push_back(connection);
        connection->accept();
    }

    /// Closes the oldest connection on which no call has been accepted. Returns false if there is none.
    bool evict_stranger()
    {
        while (!m_new_connections.empty()) {
            const auto oldest = m_new_connections.front().lock();
            m_new_connections.pop_front();
            if (!oldest || oldest->has_accepted_call())
                continue;
            oldest->close();
            return true;
        }
        return false;
    }

    void notify_if_stopped()
    {
        if (m_stopping && m_connections.empty() && m_on_stopped)
            m_loop.post(std::exchange(m_on_stopped, nullptr));
    }

    event_loop& m_loop;
    std::shared_ptr<peer_security> m_security;
    peer_handler& m_handler;
    peer_settings m_settings;
    std::shared_ptr<memory_budget> m_memory;
    std::shared_ptr<peer_counters> m_counters = std::make_shared<peer_counters>();
    tcp_listener m_listener;
    std::set<std::shared_ptr<detail::server_connection>> m_connections;
    /// Connections on which no call had been accepted when they were last looked at, in the order of their begin.
    std::deque<std::weak_ptr<detail::server_connection>> m_new_connections;
    std::size_t m_receiving_bytes = 0;
    bool m_stopping = false;
    bool m_shutting_down = false;
    std::function<void()> m_on_stopped;
};

peer_server::peer_server(event_loop& loop, std::shared_ptr<peer_security> security, peer_handler& handler,
                         const peer_settings& settings, std::shared_ptr<memory_budget> memory)
    : m_implementation(
          std::make_shared<implementation>(loop, std::move(security), handler, settings, std::move(memory)))
{
}

peer_server::~peer_server()
{
    m_implementation->shut_down();
}

leaf::result<std::uint16_t> peer_server::start(std::string_view address, std::uint16_t port)
{
    return m_implementation->start(address, port);
}

void peer_server::stop(std::function<void()> done)
{
    m_implementation->stop(std::move(done));
}

const peer_counters& peer_server::counters() const
{
    return m_implementation->counters();
}

std::size_t peer_server::open_connections() const
{
    return m_implementation->open_connections();
}

} // namespace mulberry
