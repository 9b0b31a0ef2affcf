#include "libs/eventloop/tcplistener.h"

#include "libs/eventloop/eventloop.h"
#include "libs/eventloop/singleshottimer.h"

#include <chrono>
#include <utility>

namespace mulberry {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Without this delay a persistent accept error, such as a lack of free file descriptors, would cause a busy loop.
constexpr std::chrono::milliseconds accept_retry_delay{100};

} // namespace

class tcp_listener::implementation final : public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, socket_handler handler)
        : m_handler(std::move(handler)), m_acceptor(loop.context()), m_timer(loop.context().get_executor())
    {
    }

    std::uint16_t start(std::string_view address, std::uint16_t port, error_code& error)
    {
        const auto host = boost::asio::ip::make_address(address, error);
        const tcp::endpoint endpoint(host, port);
        if (error || m_acceptor.open(endpoint.protocol(), error) ||
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error) || m_acceptor.bind(endpoint, error) ||
            m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error))
            return 0;
        accept();
        return m_acceptor.local_endpoint().port();
    }

    void accept_backlog()
    {
        if (!m_acceptor.is_open())
            return;
        error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(m_acceptor.get_executor());
            m_acceptor.accept(socket, error);
            if (!error)
                m_handler(std::move(socket));
        }
    }

    void close()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        m_timer.cancel();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([weak = weak_from_this()](const error_code& error, tcp::socket socket) {
            const auto self = weak.lock();
            if (!self || !self->m_acceptor.is_open())
                return;
            if (error)
                return self->accept_after_delay();
            self->m_handler(std::move(socket));
            self->accept();
        });
    }

    void accept_after_delay()
    {
        m_timer.start(accept_retry_delay, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->m_acceptor.is_open())
                self->accept();
        });
    }

    socket_handler m_handler;
    tcp::acceptor m_acceptor;
    single_shot_timer m_timer;
};

tcp_listener::tcp_listener(event_loop& loop, socket_handler handler)
    : m_implementation(std::make_shared<implementation>(loop, std::move(handler)))
{
}

tcp_listener::~tcp_listener()
{
    m_implementation->close();
}

std::uint16_t tcp_listener::start(std::string_view address, std::uint16_t port, error_code& error)
{
    return m_implementation->start(address, port, error);
}

void tcp_listener::stop()
{
    m_implementation->accept_backlog();
    m_implementation->close();
}

} // namespace mulberry
