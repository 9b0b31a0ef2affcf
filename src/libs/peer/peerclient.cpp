#include "libs/peer/peerclient.h"

#include "libs/base/asyncerror.h"
#include "libs/eventloop/eventloop.h"
#include "libs/peer/clientconnection.h"

#include <set>
#include <unordered_map>

namespace mulberry {

using detail::client_connection;

class peer_client::implementation final : public detail::client_connection_owner,
                                          public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, std::shared_ptr<peer_security> security, const peer_settings& settings,
                   std::shared_ptr<memory_budget> memory)
        : m_loop(loop), m_security(std::move(security)), m_settings(settings), m_memory(std::move(memory))
    {
    }

    peer_call_id call(std::string_view node_name, std::string_view address, std::string_view path,
                      message_parts payload, peer_callback done)
    {
        const peer_call_id id = ++m_last_id;
        ++m_counters->calls;
        const auto record = m_calls.emplace(id, call_record{std::move(done), {}}).first;
        if (payload.size() > m_settings.max_message_bytes) {
            ++m_counters->oversized_messages;
            on_call_finished(id, captured_error<message_body>(peer_error::too_large));
            return id;
        }
        const auto connection = m_stopping ? nullptr : connection_to(node_name, address);
        if (!connection || connection->waiting_calls() >= m_settings.max_waiting_calls) {
            on_call_finished(id, captured_error<message_body>(peer_error::not_sent));
            return id;
        }
        record->second.connection = connection;
        connection->submit(id, std::string(path), std::move(payload));
        return id;
    }

    void cancel(peer_call_id id)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return;
        const auto connection = found->second.connection.lock();
        m_calls.erase(found);
        ++m_counters->calls_cancelled;
        if (connection)
            connection->cancel(id);
    }

    void stop(std::function<void()> done)
    {
        m_stopping = true;
        m_on_stopped = std::move(done);
        for (const auto& connection : copy_of_connections())
            connection->retire();
        notify_if_stopped();
    }

    void shut_down()
    {
        m_calls.clear();
        m_on_stopped = nullptr;
        for (const auto& connection : copy_of_connections())
            connection->close();
    }

    void on_call_finished(peer_call_id id, leaf::result<message_body> result) override
    {
        m_loop.post([weak = weak_from_this(), id, result = std::move(result)]() mutable {
            if (const auto self = weak.lock())
                self->deliver(id, std::move(result));
        });
    }

    std::shared_ptr<memory_budget> memory() const override { return m_memory; }

    void on_connection_closed(client_connection& connection) override
    {
        const auto found = m_current_connections.find(connection.node_name());
        if (found != m_current_connections.end() && found->second.get() == &connection)
            m_current_connections.erase(found);
        m_connections.erase(std::static_pointer_cast<client_connection>(connection.shared_from_this()));
        notify_if_stopped();
    }

    const peer_counters& counters() const { return *m_counters; }
    std::size_t open_connections() const { return m_connections.size(); }

private:
    struct call_record {
        peer_callback done;
        std::weak_ptr<client_connection> connection;
    };

    std::vector<std::shared_ptr<client_connection>> copy_of_connections() const
    {
        return {m_connections.begin(), m_connections.end()};
    }

    std::shared_ptr<client_connection> connection_to(std::string_view node_name, std::string_view address)
    {
        const auto found = m_current_connections.find(node_name);
        if (found != m_current_connections.end()) {
            auto existing_connection = found->second;
            if (existing_connection->is_usable() && existing_connection->address() == address)
                return existing_connection;
            m_current_connections.erase(found);
            existing_connection->retire();
        }
        auto new_connection =
            std::make_shared<client_connection>(m_loop.context(), m_security, m_settings, m_counters, weak_from_this(),
                                                std::string(node_name), std::string(address));
        m_current_connections.emplace(node_name, new_connection);
        m_connections.insert(new_connection);
        new_connection->connect();
        return new_connection;
    }

    void deliver(peer_call_id id, leaf::result<message_body> result)
    {
        auto record = m_calls.extract(id);
        if (!record.empty())
            record.mapped().done(std::move(result));
    }

    void notify_if_stopped()
    {
        if (m_stopping && m_connections.empty() && m_on_stopped)
            m_loop.post(std::exchange(m_on_stopped, nullptr));
    }

    event_loop& m_loop;
    std::shared_ptr<peer_security> m_security;
    peer_settings m_settings;
    std::shared_ptr<memory_budget> m_memory;
    std::shared_ptr<peer_counters> m_counters = std::make_shared<peer_counters>();
    std::map<std::string, std::shared_ptr<client_connection>, std::less<>> m_current_connections;
    std::set<std::shared_ptr<client_connection>> m_connections;
    std::unordered_map<peer_call_id, call_record> m_calls;
    peer_call_id m_last_id = 0;
    bool m_stopping = false;
    std::function<void()> m_on_stopped;
};

peer_client::peer_client(event_loop& loop, std::shared_ptr<peer_security> security, const peer_settings& settings,
                         std::shared_ptr<memory_budget> memory)
    : m_implementation(std::make_shared<implementation>(loop, std::move(security), settings, std::move(memory)))
{
}

peer_client::~peer_client()
{
    m_implementation->shut_down();
}

peer_call_id peer_client::call(std::string_view node_name, std::string_view address, std::string_view path,
                               message_parts payload, peer_callback done)
{
    return m_implementation->call(node_name, address, path, std::move(payload), std::move(done));
}

void peer_client::cancel(peer_call_id id)
{
    m_implementation->cancel(id);
}

void peer_client::stop(std::function<void()> done)
{
    m_implementation->stop(std::move(done));
}

const peer_counters& peer_client::counters() const
{
    return m_implementation->counters();
}

std::size_t peer_client::open_connections() const
{
    return m_implementation->open_connections();
}

} // namespace mulberry
