#pragma once

#include "libs/peer/http2connection.h"
#include "libs/peer/peercaller.h"

#include <deque>
#include <map>
#include <optional>

namespace mulberry::detail {

/// Receives the events of a connection that the client owns. Implementations must not call back into the connection.
class client_connection_owner {
public:
    client_connection_owner() = default;
    client_connection_owner(const client_connection_owner&) = delete;
    client_connection_owner& operator=(const client_connection_owner&) = delete;
    virtual ~client_connection_owner() = default;

    virtual void on_call_finished(peer_call_id id, leaf::result<message_body> result) = 0;
    /// Null if memory is not limited.
    virtual std::shared_ptr<memory_budget> memory() const = 0;
    virtual void on_connection_closed(class client_connection& connection) = 0;
};

/// A client's connection to one peer, with its open and waiting calls.
class client_connection final : public http2_connection {
public:
    client_connection(boost::asio::io_context& context, std::shared_ptr<peer_security> security,
                      const peer_settings& settings, std::shared_ptr<peer_counters> counters,
                      std::weak_ptr<client_connection_owner> owner, std::string node_name, std::string address);

    void connect();
    void submit(peer_call_id id, std::string path, message_parts payload);
    void cancel(peer_call_id id);
    /// Accepts no further calls and closes the connection once the present ones have finished.
    void retire();

    /// Returns false if new calls need another connection.
    bool is_usable() const { return !m_retired && !is_closed(); }
    std::size_t waiting_calls() const { return m_waiting_calls.size(); }
    const std::string& node_name() const { return m_node_name; }
    const std::string& address() const { return m_address; }

private:
    struct call_state {
        peer_call_id id = 0;
        std::string path;
        outgoing_payload payload;
        bool header_written = false;
        bool is_cancelled = false;
        bool is_complete = false;
        std::string status;
        std::optional<std::size_t> announced_bytes;
        std::string response;
        memory_reservation reservation;
        std::optional<peer_error> local_error;
    };
    using stream_map = std::map<std::int32_t, std::unique_ptr<call_state>>;

    void connect_to(const boost::asio::ip::tcp::resolver::results_type& endpoints);
    void handshake();
    void verify_peer();
    void submit_waiting_calls();
    void update_idle_state();
    void fail_waiting_calls();
    void fail_stream(std::int32_t stream, call_state& call, peer_error error);
    leaf::result<message_body> result_of(call_state& call, peer_error default_error);
    void report_result(call_state& call, peer_error default_error);
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
    bool has_open_streams() const override { return !m_streams.empty(); }

    std::weak_ptr<client_connection_owner> m_owner;
    std::string m_node_name;
    std::string m_address;
    boost::asio::ip::tcp::resolver m_resolver;
    single_shot_timer m_connect_timer;
    single_shot_timer m_idle_timer;
    std::deque<std::unique_ptr<call_state>> m_waiting_calls;
    stream_map m_streams;
    bool m_settings_received = false;
    bool m_retired = false;
    bool m_goaway_received = false;
};

} // namespace mulberry::detail
