#include "libs/http/httpserver.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"
#include "libs/eventloop/eventloop.h"
#include "libs/eventloop/singleshottimer.h"
#include "libs/http/pendingresponse.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <set>
#include <thread>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

namespace mulberry {

using detail::pending_response;

namespace {

constexpr int not_a_socket = -1;
constexpr std::size_t thread_stack_bytes = std::size_t{256} * 1024;
// Size of the response fields in a connection's memory pool, which libmicrohttpd uses for the fields of both the
// request and the response.
constexpr std::size_t response_field_bytes = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds unread_check_period{10};
// Time after the server stops accepting in which TCP handshakes that had begun can complete. This takes one round trip;
// clients are 8 ms away.
constexpr std::chrono::milliseconds handshake_grace_period{50};

/// The request that the current connection thread is processing.
struct current_request {
    MHD_Connection* connection = nullptr;
    std::string target;
};

thread_local current_request current;

int socket_of(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? not_a_socket : info->connect_fd;
}

bool has_unread_bytes(int socket)
{
    int count = 0;
    return ioctl(socket, FIONREAD, &count) == 0 && count > 0;
}

/// Makes the kernel drop SYN packets to a listening socket. Connections that the kernel has already accepted are not
/// affected.
void refuse_new_handshakes(int socket)
{
    constexpr std::uint32_t flags_offset = 13;
    constexpr std::uint32_t syn_flag = 0x02;
    constexpr std::uint32_t accept_packet = 0xffffffff;
    std::array<sock_filter, 4> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, syn_flag, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, accept_packet),
    }};
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    if (setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
        log_warning("http", "Cannot attach the socket filter; connections opened during the stop may be reset: {}.",
                    std::strerror(errno));
    }
}

MHD_Result collect_field(void* fields, MHD_ValueKind, const char* name, const char* value)
{
    static_cast<http_headers*>(fields)->emplace_back(name, value == nullptr ? "" : value);
    return MHD_YES;
}

std::string address_of(const sockaddr* address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address == nullptr || address->sa_family != AF_INET)
        return {};
    sockaddr_in internet{};
    std::memcpy(&internet, address, sizeof internet);
    inet_ntop(AF_INET, &internet.sin_addr, text.data(), text.size());
    return text.data();
}

/// Splits the request target into path and query; scheme and authority of an absolute-form target are removed.
void set_target(http_server_request& request, std::string_view target)
{
    if (!target.starts_with('/') && target.find("://") != std::string_view::npos) {
        const std::size_t path = target.find_first_of("/?", target.find("://") + 3);
        target = path == std::string_view::npos ? std::string_view("/") : target.substr(path);
    }
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string_view::npos)
        request.query = target.substr(mark + 1);
}

/// Returns a spelling of the field name, differing in upper and lower case, that the response does not contain yet.
/// ulfius stores one value per spelling, but field names are case-insensitive, so repeated fields such as Set-Cookie
/// are kept under different spellings.
std::string unused_spelling(const _u_map* fields, const std::string& name)
{
    std::string spelling = name;
    for (std::size_t variant = 1; u_map_has_key(fields, spelling.c_str()) != 0; ++variant) {
        spelling = name;
        std::size_t bits = variant;
        for (char& c : spelling) {
            if (std::isalpha(static_cast<unsigned char>(c)) == 0)
                continue;
            if ((bits & 1U) != 0)
                c = static_cast<char>(c ^ 0x20);
            bits >>= 1U;
        }
        if (bits != 0)
            break;
    }
    return spelling;
}

void fill_response(_u_response& target, const http_response& response)
{
    for (const auto& [name, value] : response.headers) {
        if (!detail::is_token(name) || !detail::is_field_value(value) || detail::is_connection_field(name))
            continue;
        u_map_put(target.map_header, unused_spelling(target.map_header, name).c_str(), value.c_str());
    }
    ulfius_set_binary_body_response(&target, static_cast<unsigned int>(response.status), response.body.data(),
                                    response.body.size());
}

void add_connection_close(_u_response& response)
{
    u_map_put(response.map_header, "Connection", "close");
}

http_response plain_response(int status, std::string text)
{
    return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
}

} // namespace

class http_server::implementation final : public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, http_handler& handler, http_server_settings settings)
        : m_loop(loop), m_handler(handler), m_settings(std::move(settings)),
          m_handshake_timer(loop.context().get_executor())
    {
    }

    leaf::result<std::uint16_t> start();
    void stop_accepting();
    void stop(std::function<void()> done);
    void shut_down();

    std::size_t requests_in_progress() const
    {
        const std::lock_guard lock(m_mutex);
        return m_in_progress;
    }

    http_server_counters counters() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counters;
    }

private:
    class responder;
    struct callbacks;

    int open_socket(std::uint16_t& port) const;
    bool start_framework(int socket, std::uint16_t port);
    void accept_backlog();
    void close_listener();
    void wait_for_responses();
    bool connections_are_idle() const;
    void process_request(const _u_request& request, _u_response& response);
    std::optional<http_response> refusal_of(const http_server_request& request);
    void dispatch_to_handler(http_server_request request, const std::shared_ptr<pending_response>& pending);
    void report_caller_gone(const std::shared_ptr<pending_response>& pending);
    void count(std::uint64_t http_server_counters::*counter)
    {
        const std::lock_guard lock(m_mutex);
        ++(m_counters.*counter);
    }

    event_loop& m_loop;
    http_handler& m_handler;
    http_server_settings m_settings;
    _u_instance m_instance{};
    // Members used on the event loop only.
    bool m_initialised = false;
    bool m_running = false;
    bool m_accepting = false;
    bool m_handler_detached = false;
    // The listening socket while the server waits for its last handshakes; not_a_socket otherwise.
    int m_listener = not_a_socket;
    single_shot_timer m_handshake_timer;
    std::atomic<bool> m_draining = false;
    std::thread m_stop_thread;

    mutable std::mutex m_mutex;
    std::condition_variable m_state_changed;
    http_server_counters m_counters;
    std::size_t m_in_progress = 0;
    std::set<int> m_connections;
    std::set<std::shared_ptr<pending_response>> m_pending_responses;
    bool m_listener_closed = false;
    bool m_shutting_down = false;
};

/// Owned by the handler only, so that its destruction shows that the handler will not respond. Used on the event loop
/// only.
class http_server::implementation::responder final : public http_responder {
public:
    responder(event_loop& loop, std::shared_ptr<pending_response> pending)
        : m_loop(loop), m_pending_response(std::move(pending))
    {
    }
    ~responder() override
    {
        m_pending_response->set(plain_response(500, "The request was dropped without an answer.\n"));
    }

    void respond(http_response response) override
    {
        if (std::exchange(m_responded, true))
            return;
        m_pending_response->set_on_caller_gone(nullptr);
        if (response.status < 200 || response.status > 999)
            response.status = 500;
        m_pending_response->set(std::move(response));
    }

    void on_caller_gone(std::function<void()> callback) override
    {
        if (m_responded || m_pending_response->set_on_caller_gone(callback))
            return;
        m_loop.post(std::move(callback));
    }

private:
    event_loop& m_loop;
    std::shared_ptr<pending_response> m_pending_response;
    bool m_responded = false;
};

struct http_server::implementation::callbacks {
    static implementation& self(void* data) { return *static_cast<implementation*>(data); }

    static void* request_line(void* data, const char* target, MHD_Connection* connection)
    {
        current = {connection, target};
        {
            const std::lock_guard lock(self(data).m_mutex);
            ++self(data).m_in_progress;
        }
        return ulfius_uri_logger(&self(data).m_instance, target);
    }

    static void completed(void* data, MHD_Connection* connection, void** context, MHD_RequestTerminationCode code)
    {
        mhd_request_completed(&self(data).m_instance, connection, context, code);
        const std::lock_guard lock(self(data).m_mutex);
        --self(data).m_in_progress;
        self(data).m_state_changed.notify_all();
    }

    static void connection(void* data, MHD_Connection* connection, void**, MHD_ConnectionNotificationCode code)
    {
        const int socket = socket_of(connection);
        const std::lock_guard lock(self(data).m_mutex);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            self(data).m_connections.insert(socket);
        }
        else {
            self(data).m_connections.erase(socket);
        }
        self(data).m_state_changed.notify_all();
    }

    static int request(const _u_request* request, _u_response* response, void* data)
    {
        self(data).process_request(*request, *response);
        return U_CALLBACK_COMPLETE;
    }
};

int http_server::implementation::open_socket(std::uint16_t& port) const
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_settings.port);
    socklen_t length = sizeof address;
    sockaddr generic{};
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    bool succeeded = descriptor >= 0 && inet_pton(AF_INET, m_settings.address.c_str(), &address.sin_addr) == 1;
    std::memcpy(&generic, &address, sizeof address);
    succeeded = succeeded && bind(descriptor, &generic, sizeof address) == 0 && listen(descriptor, SOMAXCONN) == 0 &&
                getsockname(descriptor, &generic, &length) == 0;
    if (!succeeded) {
        log_error("http", "Cannot listen on {}:{}: {}.", m_settings.address, m_settings.port, std::strerror(errno));
        if (descriptor >= 0)
            close(descriptor);
        return not_a_socket;
    }
    std::memcpy(&address, &generic, sizeof address);
    port = ntohs(address.sin_port);
    return descriptor;
}

leaf::result<std::uint16_t> http_server::implementation::start()
{
    std::uint16_t port = 0;
    const int socket = open_socket(port);
    if (socket == not_a_socket)
        return captured_error<std::uint16_t>(http_error::not_sent);
    if (!start_framework(socket, port)) {
        close(socket);
        return captured_error<std::uint16_t>(http_error::not_sent);
    }
    m_running = true;
    m_accepting = true;
    return port;
}

bool http_server::implementation::start_framework(int socket, std::uint16_t port)
{
    if (ulfius_init_instance(&m_instance, port, nullptr, nullptr) != U_OK)
        return false;
    m_initialised = true;
    m_instance.check_utf8 = 0;
    m_instance.allowed_post_processor = U_POST_PROCESS_NONE;
    // ulfius truncates longer bodies; one byte more than the limit shows that the body was too long.
    m_instance.max_post_body_size = m_settings.max_body_bytes + 1;
    ulfius_set_default_endpoint(&m_instance, callbacks::request, this);
    const auto address_of_function = [](auto* function) {
        return reinterpret_cast<intptr_t>(function); // NOLINT: libmicrohttpd's options carry functions as integers
    };
    const auto idle_seconds = std::max<std::int64_t>(1, to_milliseconds(m_settings.idle_timeout) / 1000);
    const std::size_t pool_bytes = 2 * m_settings.max_header_bytes + response_field_bytes;
    std::array<MHD_OptionItem, 10> options{{
        {MHD_OPTION_NOTIFY_COMPLETED, address_of_function(callbacks::completed), this},
        {MHD_OPTION_URI_LOG_CALLBACK, address_of_function(callbacks::request_line), this},
        {MHD_OPTION_NOTIFY_CONNECTION, address_of_function(callbacks::connection), this},
        {MHD_OPTION_LISTEN_SOCKET, socket, nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(m_settings.max_connections), nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<intptr_t>(pool_bytes), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(idle_seconds), nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(thread_stack_bytes), nullptr},
        {MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr},
        {MHD_OPTION_END, 0, nullptr},
    }};
    const unsigned int flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&m_instance, flags, options.data()) == U_OK)
        return true;
    log_error("http", "The HTTP server on ulfius cannot be started.");
    return false;
}

void http_server::implementation::stop_accepting()
{
    m_draining = true;
    if (!m_accepting)
        return;
    m_accepting = false;
    m_listener = MHD_quiesce_daemon(m_instance.mhd_daemon);
    if (m_listener == not_a_socket) {
        close_listener();
        return;
    }
    refuse_new_handshakes(m_listener);
    accept_backlog();
    m_handshake_timer.start(handshake_grace_period, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->accept_backlog();
        self->close_listener();
    });
}

/// Closing the listening socket would reset connections that the kernel has already accepted, so they are accepted
/// before.
void http_server::implementation::accept_backlog()
{
    const int nonblocking = 1;
    ioctl(m_listener, FIONBIO, &nonblocking);
    while (true) {
        sockaddr address{};
        socklen_t length = sizeof address;
        const int connection = accept4(m_listener, &address, &length, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (connection < 0)
            return;
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(connection);
        }
        if (MHD_add_connection(m_instance.mhd_daemon, connection, &address, length) == MHD_YES)
            continue;
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
    }
}

void http_server::implementation::close_listener()
{
    if (m_listener != not_a_socket)
        close(std::exchange(m_listener, not_a_socket));
    const std::lock_guard lock(m_mutex);
    m_listener_closed = true;
    m_state_changed.notify_all();
}

void http_server::implementation::stop(std::function<void()> done)
{
    stop_accepting();
    if (!m_running) {
        m_loop.post(std::move(done));
        return;
    }
    m_running = false;
    m_stop_thread = std::thread([this, done = std::move(done)]() mutable {
        wait_for_responses();
        ulfius_stop_framework(&m_instance);
        m_loop.post(std::move(done));
    });
}

void http_server::implementation::wait_for_responses()
{
    const auto grace_end = std::chrono::steady_clock::now() + m_settings.idle_grace_period;
    std::unique_lock lock(m_mutex);
    m_state_changed.wait(lock, [this] { return m_shutting_down || m_listener_closed; });
    m_state_changed.wait_until(lock, grace_end, [this] { return m_shutting_down || m_connections.empty(); });
    while (!m_shutting_down && !connections_are_idle())
        m_state_changed.wait_for(lock, unread_check_period);
}

bool http_server::implementation::connections_are_idle() const
{
    return m_in_progress == 0 && std::ranges::none_of(m_connections, has_unread_bytes);
}

void http_server::implementation::shut_down()
{
    m_handler_detached = true;
    {
        const std::lock_guard lock(m_mutex);
        m_shutting_down = true;
        for (const auto& pending : m_pending_responses)
            pending->set(plain_response(503, "The server stops.\n"));
        m_state_changed.notify_all();
    }
    m_handshake_timer.cancel();
    close_listener();
    if (m_stop_thread.joinable()) {
        m_stop_thread.join();
    }
    else if (m_running) {
        ulfius_stop_framework(&m_instance);
    }
    m_running = false;
    if (std::exchange(m_initialised, false))
        ulfius_clean_instance(&m_instance);
}

std::optional<http_response> http_server::implementation::refusal_of(const http_server_request& request)
{
    std::size_t header_bytes = request.method.size() + request.path.size() + request.query.size();
    bool well_formed = detail::is_token(request.method);
    for (const auto& [name, value] : request.headers) {
        header_bytes += name.size() + value.size() + std::strlen(": \r\n");
        well_formed = well_formed && detail::is_token(name);
    }
    if (!well_formed || detail::framing_of(request.headers) == detail::body_framing::contradictory) {
        count(&http_server_counters::refused_framing);
        return plain_response(400, "Malformed or contradictory header fields.\n");
    }
    if (header_bytes > m_settings.max_header_bytes) {
        count(&http_server_counters::refused_headers);
        return plain_response(431, "Too many header bytes.\n");
    }
    if (request.body.size() > m_settings.max_body_bytes) {
        count(&http_server_counters::refused_body);
        return plain_response(413, "The body is too large.\n");
    }
    return std::nullopt;
}

void http_server::implementation::process_request(const _u_request& request, _u_response& response)
{
    MHD_Connection* connection = current.connection;
    http_server_request received_request;
    received_request.method = request.http_verb;
    set_target(received_request, current.target);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, collect_field, &received_request.headers);
    if (request.binary_body != nullptr)
        received_request.body.assign(static_cast<const char*>(request.binary_body), request.binary_body_length);
    received_request.remote_address = address_of(request.client_address);
    count(&http_server_counters::requests);
    if (const std::optional<http_response> refusal = refusal_of(received_request)) {
        fill_response(response, *refusal);
        // Further bytes on this connection may be the rest of a request whose end the sender sees elsewhere, so the
        // connection is closed.
        add_connection_close(response);
        return;
    }
    const auto pending = std::make_shared<pending_response>();
    dispatch_to_handler(std::move(received_request), pending);
    // The wait for the response must not count as idle time, or libmicrohttpd would close the connection before the
    // response.
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
    const auto result = pending->wait(socket_of(connection));
    const auto idle_seconds = std::max<std::int64_t>(1, to_milliseconds(m_settings.idle_timeout) / 1000);
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, static_cast<unsigned int>(idle_seconds));
    {
        const std::lock_guard lock(m_mutex);
        m_pending_responses.erase(pending);
    }
    if (result == pending_response::wait_result::response_ready) {
        fill_response(response, pending->take());
    }
    else {
        report_caller_gone(pending);
        fill_response(response, plain_response(503, "The caller has gone.\n"));
        add_connection_close(response);
    }
    if (m_draining)
        add_connection_close(response);
}

void http_server::implementation::dispatch_to_handler(http_server_request request,
                                                      const std::shared_ptr<pending_response>& pending)
{
    {
        const std::lock_guard lock(m_mutex);
        m_pending_responses.insert(pending);
        if (m_shutting_down)
            pending->set(plain_response(503, "The server stops.\n"));
    }
    auto new_responder = std::make_shared<responder>(m_loop, pending);
    m_loop.post(
        [weak = weak_from_this(), request = std::move(request), new_responder = std::move(new_responder)]() mutable {
            const auto self = weak.lock();
            if (self && !self->m_handler_detached)
                self->m_handler.on_request(std::move(request), std::move(new_responder));
        });
}

void http_server::implementation::report_caller_gone(const std::shared_ptr<pending_response>& pending)
{
    count(&http_server_counters::callers_gone);
    m_loop.post([weak = weak_from_this(), pending] {
        const auto self = weak.lock();
        if (self && !self->m_handler_detached)
            pending->notify_caller_gone();
    });
}

http_server::http_server(event_loop& loop, http_handler& handler, http_server_settings settings)
    : m_implementation(std::make_shared<implementation>(loop, handler, std::move(settings)))
{
}

http_server::~http_server()
{
    m_implementation->shut_down();
}

leaf::result<std::uint16_t> http_server::start()
{
    return m_implementation->start();
}

void http_server::stop_accepting()
{
    m_implementation->stop_accepting();
}

void http_server::stop(std::function<void()> done)
{
    m_implementation->stop(std::move(done));
}

std::size_t http_server::requests_in_progress() const
{
    return m_implementation->requests_in_progress();
}

http_server_counters http_server::counters() const
{
    return m_implementation->counters();
}

} // namespace mulberry
