#include "libs/http1/http1server.h"

#include "libs/eventloop/eventloop.h"
#include "libs/eventloop/tcplistener.h"
#include "libs/http1/http1serverconnection.h"

#include <set>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

namespace mulberry {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using detail::http1_server_connection;

} // namespace

class http1_server::implementation final : public detail::http1_connection_owner,
                                           public memory_reclaimer,
                                           public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, http1_handler& handler, const http1_limits& limits,
                   std::shared_ptr<memory_budget> memory)
        : m_loop(loop), m_handler(handler), m_limits(limits), m_memory(std::move(memory)),
          m_listener(loop, [this](tcp::socket socket) { accept_connection(std::move(socket)); })
    {
    }

    boost::leaf::result<std::uint16_t> start(const std::string& address, std::uint16_t port)
    {
        error_code error;
        const std::uint16_t bound = m_listener.start(address, port, error);
        if (error)
            return boost::leaf::new_error(error);
        return bound;
    }

    void stop_listening() { m_listener.stop(); }

    void finish()
    {
        m_closing = true;
        stop_listening();
        for (const auto& connection : copy_of_connections())
            connection->close_if_idle();
    }

    void stop(std::function<void()> done)
    {
        m_on_stopped = std::move(done);
        finish();
        notify_if_stopped();
    }

    void close_all()
    {
        stop_listening();
        for (const auto& connection : copy_of_connections())
            connection->close();
    }

    void set_limits(const http1_limits& limits) { m_limits = limits; }
    void begin_closing() { m_closing = true; }
    std::size_t open_connections() const { return m_connections.size(); }
    std::uint64_t evicted_connections() const { return m_evicted_connections; }

    http1_handler& handler() override { return m_handler; }
    std::shared_ptr<memory_budget> memory() const override { return m_memory; }
    const http1_limits& limits() const override { return m_limits; }
    bool is_closing() const override { return m_closing; }
    http1_request_id next_request_id() override { return ++m_last_id; }
    std::uint64_t next_phase_number() override { return ++m_last_phase; }

    void join_budget()
    {
        if (m_memory)
            m_memory->add_reclaimer(weak_from_this());
    }

    /// Closes the slow connection that holds most.
    bool reclaim() override
    {
        const auto now = detail::transfer_progress::clock::now();
        std::shared_ptr<http1_server_connection> chosen;
        for (const auto& connection : m_connections) {
            if (connection->is_slow(now) && (!chosen || connection->held_bytes() > chosen->held_bytes()))
                chosen = connection;
        }
        if (!chosen || chosen->held_bytes() == 0)
            return false;
        chosen->close();
        return true;
    }

    bool reserve_body_bytes(std::size_t bytes) override
    {
        if (m_buffered_body_bytes + bytes > m_limits.max_buffered_body_bytes)
            return false;
        m_buffered_body_bytes += bytes;
        return true;
    }

    void release(std::size_t bytes) override { m_buffered_body_bytes -= bytes; }

    void connection_closed(http1_server_connection& connection) override
    {
        m_connections.erase(connection.shared_from_this());
        notify_if_stopped();
    }

private:
    std::vector<std::shared_ptr<http1_server_connection>> copy_of_connections() const
    {
        return {m_connections.begin(), m_connections.end()};
    }

    void accept_connection(tcp::socket socket)
    {
        if (m_connections.size() >= m_limits.max_connections && !evict_connection())
            return;
        auto connection = std::make_shared<http1_server_connection>(std::move(socket), weak_from_this());
        m_connections.insert(connection);
        connection->start();
    }

    /// Closes the connection that is needed least. Returns false if all are in use.
    bool evict_connection()
    {
        const auto now = detail::transfer_progress::clock::now();
        std::shared_ptr<http1_server_connection> chosen;
        std::optional<http1_server_connection::eviction_order> first;
        for (const auto& connection : m_connections) {
            const auto order = connection->eviction(now);
            if (!order || (first && !order->precedes(*first)) || connection->has_new_request())
                continue;
            first = order;
            chosen = connection;
        }
        if (!chosen)
            return false;
        ++m_evicted_connections;
        chosen->close();
        return true;
    }

    void notify_if_stopped()
    {
        if (m_on_stopped && m_connections.empty())
            boost::asio::post(m_loop.context(), std::exchange(m_on_stopped, {}));
    }

    event_loop& m_loop;
    http1_handler& m_handler;
    http1_limits m_limits;
    std::shared_ptr<memory_budget> m_memory;
    tcp_listener m_listener;
    std::set<std::shared_ptr<http1_server_connection>> m_connections;
    http1_request_id m_last_id = 0;
    std::uint64_t m_last_phase = 0;
    std::uint64_t m_evicted_connections = 0;
    std::size_t m_buffered_body_bytes = 0;
    bool m_closing = false;
    std::function<void()> m_on_stopped;
};

http1_server::http1_server(event_loop& loop, http1_handler& handler, const http1_limits& limits,
                           std::shared_ptr<memory_budget> memory)
    : m_implementation(std::make_shared<implementation>(loop, handler, limits, std::move(memory)))
{
    m_implementation->join_budget();
}

http1_server::~http1_server()
{
    m_implementation->close_all();
}

boost::leaf::result<std::uint16_t> http1_server::start(const std::string& address, std::uint16_t port)
{
    return m_implementation->start(address, port);
}

void http1_server::set_limits(const http1_limits& limits)
{
    m_implementation->set_limits(limits);
}

void http1_server::begin_closing()
{
    m_implementation->begin_closing();
}

void http1_server::stop_accepting()
{
    m_implementation->begin_closing();
    m_implementation->stop_listening();
}

void http1_server::stop(std::function<void()> done)
{
    m_implementation->stop(std::move(done));
}

void http1_server::finish()
{
    m_implementation->finish();
}

std::size_t http1_server::open_connections() const
{
    return m_implementation->open_connections();
}

std::uint64_t http1_server::evicted_connections() const
{
    return m_implementation->evicted_connections();
}

} // namespace mulberry
