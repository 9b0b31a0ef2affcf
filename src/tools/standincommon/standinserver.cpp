#include "tools/standincommon/standinserver.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>

#include <arpa/inet.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

namespace mulberry {

namespace {

constexpr std::size_t thread_stack_bytes = 262'144;
constexpr std::size_t stream_buffer_bytes = 16'384;
constexpr std::size_t max_request_body_bytes = 64UL * 1024UL * 1024UL;
constexpr intptr_t max_open_connections = 10'000;
/// Maximum time until a stream notices that its reader has closed the connection or that the server stops.
constexpr duration stream_check_period = std::chrono::milliseconds(50);

/// Socket of the connection that the current thread serves.
thread_local int current_connection_socket = -1;

bool is_closed_by_peer(int socket)
{
    pollfd poll_entry{socket, POLLRDHUP, 0};
    return poll(&poll_entry, 1, 0) > 0 && (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

standin_request request_from(const _u_request& received)
{
    standin_request request;
    request.method = received.http_verb;
    const std::string_view target = received.http_url;
    const std::size_t query_start = target.find('?');
    request.path = target.substr(0, query_start);
    if (query_start != std::string_view::npos)
        request.query = target.substr(query_start + 1);
    for (int i = 0; i < received.map_header->nb_values; ++i)
        request.headers.emplace_back(received.map_header->keys[i], received.map_header->values[i]);
    if (received.binary_body != nullptr)
        request.body.assign(static_cast<const char*>(received.binary_body), received.binary_body_length);
    return request;
}

/// Opens a listening socket and sets the port to the one that it is bound to.
int listening_socket(const std::string& address, std::uint16_t& port)
{
    sockaddr_in ipv4_address{};
    ipv4_address.sin_family = AF_INET;
    ipv4_address.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &ipv4_address.sin_addr) != 1)
        throw std::system_error(EINVAL, std::generic_category(), "address " + address);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr socket_address{};
    socklen_t length = sizeof ipv4_address;
    std::memcpy(&socket_address, &ipv4_address, sizeof ipv4_address);
    if (listener < 0 || bind(listener, &socket_address, length) != 0 || listen(listener, SOMAXCONN) != 0 ||
        getsockname(listener, &socket_address, &length) != 0) {
        const int error = errno;
        if (listener >= 0)
            close(listener);
        throw std::system_error(error, std::generic_category(), "listening on " + address);
    }
    std::memcpy(&ipv4_address, &socket_address, sizeof ipv4_address);
    port = ntohs(ipv4_address.sin_port);
    return listener;
}

/// State of a streamed response, from which libmicrohttpd reads the body.
struct stream_state {
    std::shared_ptr<standin_stream> stream;
    /// The part of the last chunk that libmicrohttpd has not read yet.
    std::string unsent;
    int socket = -1;
    const std::atomic<bool>& stopping;
};

ssize_t read_stream(void* data, std::uint64_t, char* buffer, std::size_t size)
{
    auto& state = *static_cast<stream_state*>(data);
    while (state.unsent.empty()) {
        if (state.stopping || is_closed_by_peer(state.socket))
            return U_STREAM_END;
        auto chunk = state.stream->next(stream_check_period);
        if (!chunk)
            return U_STREAM_END;
        state.unsent = std::move(*chunk);
    }
    const std::size_t length = std::min(size, state.unsent.size());
    std::ranges::copy_n(state.unsent.begin(), static_cast<std::ptrdiff_t>(length), buffer);
    state.unsent.erase(0, length);
    return static_cast<ssize_t>(length);
}

void free_stream(void* data)
{
    delete static_cast<stream_state*>(data);
}

} // namespace

std::string_view standin_request::header(std::string_view name) const
{
    for (const auto& [field, value] : headers) {
        if (field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

standin_response json_response(int status, std::string body)
{
    standin_response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

class standin_server::implementation {
public:
    explicit implementation(handler handle) : m_handler(std::move(handle)) {}

    std::uint16_t start(const std::string& address, std::uint16_t port);
    void stop_accepting();
    void stop();
    std::size_t requests_in_progress() const { return m_requests_in_progress; }

private:
    static implementation& self(void* data) { return *static_cast<implementation*>(data); }
    /// Called by libmicrohttpd on the connection's thread when the request line has been received.
    static void* on_request_line(void* data, const char* target, MHD_Connection* connection);
    /// Called by libmicrohttpd when the response has been sent or the request has been aborted.
    static void on_request_completed(void* data, MHD_Connection* connection, void** context,
                                     MHD_RequestTerminationCode code);
    static int on_request(const _u_request* received, _u_response* ulfius_response, void* data);
    void respond(_u_response& ulfius_response, standin_response response);

    handler m_handler;
    _u_instance m_instance{};
    bool m_running = false;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_requests_in_progress = 0;
};

void* standin_server::implementation::on_request_line(void* data, const char* target, MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    current_connection_socket = info == nullptr ? -1 : info->connect_fd;
    ++self(data).m_requests_in_progress;
    return ulfius_uri_logger(&self(data).m_instance, target);
}

void standin_server::implementation::on_request_completed(void* data, MHD_Connection* connection, void** context,
                                                          MHD_RequestTerminationCode code)
{
    mhd_request_completed(&self(data).m_instance, connection, context, code);
    --self(data).m_requests_in_progress;
}

int standin_server::implementation::on_request(const _u_request* received, _u_response* ulfius_response, void* data)
{
    self(data).respond(*ulfius_response, self(data).m_handler(request_from(*received)));
    return U_CALLBACK_COMPLETE;
}

void standin_server::implementation::respond(_u_response& ulfius_response, standin_response response)
{
    if (response.drop_connection) {
        shutdown(current_connection_socket, SHUT_RDWR);
        return;
    }
    for (const auto& [name, value] : response.headers)
        u_map_put(ulfius_response.map_header, name.c_str(), value.c_str());
    const auto status = static_cast<unsigned int>(response.status);
    if (response.stream) {
        auto state = std::make_unique<stream_state>(
            stream_state{std::move(response.stream), {}, current_connection_socket, m_stopping});
        ulfius_set_stream_response(&ulfius_response, status, read_stream, free_stream, U_STREAM_SIZE_UNKNOWN,
                                   stream_buffer_bytes, state.release());
        return;
    }
    ulfius_set_binary_body_response(&ulfius_response, status, response.body.data(), response.body.size());
}

std::uint16_t standin_server::implementation::start(const std::string& address, std::uint16_t port)
{
    const int socket = listening_socket(address, port);
    ulfius_init_instance(&m_instance, port, nullptr, nullptr);
    m_instance.check_utf8 = 0;
    m_instance.allowed_post_processor = U_POST_PROCESS_NONE;
    m_instance.max_post_body_size = max_request_body_bytes;
    ulfius_set_default_endpoint(&m_instance, on_request, this);
    const auto address_of_function = [](auto* function) {
        return reinterpret_cast<intptr_t>(function); // NOLINT: libmicrohttpd's options carry functions as integers
    };
    std::array<MHD_OptionItem, 6> options{{
        {MHD_OPTION_NOTIFY_COMPLETED, address_of_function(on_request_completed), this},
        {MHD_OPTION_URI_LOG_CALLBACK, address_of_function(on_request_line), this},
        {MHD_OPTION_LISTEN_SOCKET, socket, nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, max_open_connections, nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(thread_stack_bytes), nullptr},
        {MHD_OPTION_END, 0, nullptr},
    }};
    const unsigned int flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&m_instance, flags, options.data()) != U_OK) {
        close(socket);
        ulfius_clean_instance(&m_instance);
        throw std::system_error(EIO, std::generic_category(), "starting the HTTP server");
    }
    m_running = true;
    return port;
}

void standin_server::implementation::stop_accepting()
{
    if (!m_running)
        return;
    const int socket = MHD_quiesce_daemon(m_instance.mhd_daemon);
    if (socket >= 0)
        close(socket);
}

void standin_server::implementation::stop()
{
    if (!m_running)
        return;
    m_running = false;
    m_stopping = true;
    ulfius_stop_framework(&m_instance);
    ulfius_clean_instance(&m_instance);
}

standin_server::standin_server(handler handle) : m_implementation(std::make_unique<implementation>(std::move(handle)))
{
}

standin_server::~standin_server()
{
    stop();
}

std::uint16_t standin_server::start(const std::string& address, std::uint16_t port)
{
    return m_implementation->start(address, port);
}

void standin_server::stop_accepting()
{
    m_implementation->stop_accepting();
}

void standin_server::stop()
{
    m_implementation->stop();
}

std::size_t standin_server::requests_in_progress() const
{
    return m_implementation->requests_in_progress();
}

} // namespace mulberry
