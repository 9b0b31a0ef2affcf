#include "libs/http1/http1client.h"

#include "libs/eventloop/eventloop.h"
#include "libs/http1/http1clientconnection.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <vector>

namespace mulberry {

namespace {

using detail::http1_client_connection;

/// Returns "host:port" of "http://host:port/path".
std::string server_of(std::string_view url)
{
    const std::size_t scheme = url.find("://");
    const std::string_view rest = scheme == std::string_view::npos ? url : url.substr(scheme + 3);
    return std::string(rest.substr(0, rest.find('/')));
}

} // namespace

class http1_client::implementation final : public detail::http1_client_connection_owner,
                                           public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, timer_service& timers, const http1_client_settings& settings,
                   std::shared_ptr<memory_budget> memory)
        : m_loop(loop), m_timers(timers), m_settings(settings), m_memory(std::move(memory))
    {
    }

    http_call_id send(http_request request, http_callback done)
    {
        const http_call_id id = ++m_last_id;
        std::string server = server_of(request.url);
        auto connection = take_idle_connection(server, request);
        if (!connection) {
            connection = std::make_shared<http1_client_connection>(m_loop.context(), m_timers, m_settings,
                                                                   weak_from_this(), std::move(server));
        }
        m_open_requests.emplace(id, open_request{connection, std::move(done)});
        connection->send(id, std::move(request));
        return id;
    }

    void cancel(http_call_id id)
    {
        const auto node = m_open_requests.extract(id);
        if (!node.empty())
            node.mapped().connection->close();
    }

    void close_all()
    {
        for (auto& [id, open] : m_open_requests)
            open.connection->close();
        m_open_requests.clear();
        for (auto& [server, list] : m_idle_connections) {
            for (const auto& connection : list)
                connection->close();
        }
        m_idle_connections.clear();
    }

    void on_request_finished(http1_client_connection& connection, http_call_id id, leaf::result<http_response> result,
                             bool reusable) override
    {
        const auto node = m_open_requests.extract(id);
        if (reusable)
            store_idle(connection);
        if (!node.empty())
            node.mapped().done(std::move(result));
    }

    void on_idle_connection_closed(http1_client_connection& connection) override
    {
        const auto found = m_idle_connections.find(connection.server());
        if (found == m_idle_connections.end())
            return;
        std::erase_if(found->second, [&](const auto& each) { return each.get() == &connection; });
        if (found->second.empty())
            m_idle_connections.erase(found);
    }

    void on_connected() override { ++m_connections_opened; }

    std::shared_ptr<memory_budget> memory() const override { return m_memory; }

    bool reserve_body_bytes(std::size_t bytes) override
    {
        if (m_receiving_bytes + bytes > m_settings.max_receiving_bytes)
            return false;
        m_receiving_bytes += bytes;
        return true;
    }

    void release_body_bytes(std::size_t bytes) override { m_receiving_bytes -= bytes; }

    std::uint64_t connections_opened() const { return m_connections_opened; }

private:
    using connection_list = std::vector<std::shared_ptr<http1_client_connection>>;

    struct open_request {
        std::shared_ptr<http1_client_connection> connection;
        http_callback done;
    };

    void store_idle(http1_client_connection& connection)
    {
        connection_list& list = m_idle_connections[connection.server()];
        if (list.size() >= m_settings.max_idle_per_server)
            return connection.close();
        list.push_back(connection.shared_from_this());
        connection.watch_while_idle();
    }

    /// Returns the most recently used idle connection, which is the most likely to be open still, or null if it may not
    /// be reused for this request.
    std::shared_ptr<http1_client_connection> take_idle_connection(const std::string& server,
                                                                  const http_request& request)
    {
        const auto found = m_idle_connections.find(server);
        if (found == m_idle_connections.end())
            return nullptr;
        auto connection = found->second.back();
        const duration idle_time = m_timers.now() - connection->idle_since();
        const duration limit = request.repeatable
                                   ? connection->idle_limit()
                                   : std::min(connection->idle_limit(), m_settings.unrepeatable_idle_limit);
        if (idle_time >= limit || !connection->can_distinguish(request))
            return nullptr;
        found->second.pop_back();
        if (found->second.empty())
            m_idle_connections.erase(found);
        return connection;
    }

    event_loop& m_loop;
    timer_service& m_timers;
    http1_client_settings m_settings;
    std::shared_ptr<memory_budget> m_memory;
    std::unordered_map<http_call_id, open_request> m_open_requests;
    std::map<std::string, connection_list, std::less<>> m_idle_connections;
    http_call_id m_last_id = 0;
    std::size_t m_receiving_bytes = 0;
    std::uint64_t m_connections_opened = 0;
};

http1_client::http1_client(event_loop& loop, timer_service& timers, const http1_client_settings& settings,
                           std::shared_ptr<memory_budget> memory)
    : m_implementation(std::make_shared<implementation>(loop, timers, settings, std::move(memory)))
{
}

http1_client::~http1_client()
{
    m_implementation->close_all();
}

http_call_id http1_client::send(http_request request, http_callback done)
{
    return m_implementation->send(std::move(request), std::move(done));
}

void http1_client::cancel(http_call_id id)
{
    m_implementation->cancel(id);
}

std::uint64_t http1_client::connections_opened() const
{
    return m_implementation->connections_opened();
}

} // namespace mulberry
