#pragma once

#include "libs/peer/http2connection.h"
#include "libs/peer/peercaller.h"

#include <deque>
#include <map>
#include <optional>

namespace mulberry::detail {

/// What a connection reports to the client that owns it. Calls must not re-enter the connection.
class client_connection_owner {
public:
    client_connection_owner() = default;
    client_connection_owner(const client_connection_owner&) = delete;
    client_connection_owner& operator=(const client_connection_owner&) = delete;
    virtual ~client_connection_owner() = default;

    virtual void finished(peer_call_id id, leaf::result<std::string> result) = 0;
    virtual void connection_closed(class client_connection& connection) = 0;
};

/// A client's connection to one peer with its open and waiting calls.
class client_connection final : public http2_connection {
public:
    client_connection(boost::asio::io_context& context, std::shared_ptr<peer_security> security,
                      const peer_settings& settings, std::shared_ptr<peer_counters> counters,
                      std::weak_ptr<client_connection_owner> owner, std::string node_name, std::string address);

    void connect();
    void submit(peer_call_id id, std::string path, std::string payload);
    void cancel(peer_call_id id);
    /// Takes no further calls and ends once the present ones have finished.
    void retire();

    /// False once new calls need another connection.
    bool usable() const { return !m_retired && !closed(); }
    std::size_t waiting_calls() const { return m_waiting.size(); }
    const std::string& node_name() const { return m_node_name; }
    const std::string& address() const { return m_address; }

private:
    struct call_state {
        peer_call_id id = 0;
        std::string path;
        outgoing_payload payload;
        bool written = false;
        bool cancelled = false;
        bool complete = false;
        std::string status;
        std::optional<std::size_t> expected;
        std::string answer;
        std::optional<peer_error> failure;
    };
    using stream_map = std::map<std::int32_t, std::unique_ptr<call_state>>;

    void connect_to(const boost::asio::ip::tcp::resolver::results_type& endpoints);
    void handshake();
    void verify_peer();
    void pump();
    void settle_idle();
    void fail_waiting();
    void fail_stream(std::int32_t stream, call_state& call, peer_error error);
    leaf::result<std::string> outcome_of(call_state& call, peer_error otherwise);
    void report(call_state& call, peer_error otherwise);
    call_state* find(std::int32_t stream);

    void on_message_begin(std::int32_t stream) override;
    void on_field(std::int32_t stream, std::string_view name, std::string_view value) override;
    void on_fields_end(std::int32_t stream) override;
    void on_data(std::int32_t stream, std::string_view piece) override;
    void on_message_end(std::int32_t stream) override;
    void on_stream_close(std::int32_t stream, std::uint32_t code, bool reset_by_peer) override;
    void on_fields_written(std::int32_t stream) override;
    void on_request_not_written(std::int32_t stream) override;
    void on_settings() override;
    void on_goaway() override;
    void on_closed() override;
    bool expects_traffic() const override { return !m_streams.empty(); }

    std::weak_ptr<client_connection_owner> m_owner;
    std::string m_node_name;
    std::string m_address;
    boost::asio::ip::tcp::resolver m_resolver;
    boost::asio::steady_timer m_connect_timer;
    boost::asio::steady_timer m_idle_timer;
    std::deque<std::unique_ptr<call_state>> m_waiting;
    stream_map m_streams;
    bool m_ready = false;
    bool m_retired = false;
    bool m_goaway = false;
};

} // namespace mulberry::detail
