#include "auto/processes/fleet.h"

#include <fstream>
#include <stdexcept>

namespace mulberry::processes {

namespace {

using namespace standin;

constexpr int request_timeout_ms = 20'000;
constexpr int poll_period_ms = 20;
constexpr double wait_limit_s = 30;

json make_route(const std::string& prefix, const std::string& service, bool idempotent)
{
    return {{"hostname", "fleet.example"},
            {"path_prefix", prefix},
            {"route_type", idempotent ? "idempotent" : "non_idempotent"},
            {"timeout", "20000ms"},
            {"aim", "1000ms"},
            {"priority", 0},
            {"service", service},
            {"public", true},
            {"max_attempts", 2}};
}

json make_configuration()
{
    json result{{"version", "r7"}, {"routes", json::object()}, {"services", json::object()}};
    result["routes"]["near"] = make_route("/near/", "near", true);
    result["routes"]["far"] = make_route("/far/", "far", true);
    result["routes"]["far-once"] = make_route("/far-once/", "far", false);
    for (const char* service : {"near", "far"}) {
        result["services"][service] = {
            {"health_path", "/healthz"}, {"max_connections", 940}, {"protocol", "h1"}, {"tls", false}};
    }
    result["limits"] = {{"max_header_bytes", 16 * kibibyte},
                        {"max_body_bytes", 64 * mebibyte},
                        {"header_timeout", "3000ms"},
                        {"idle_timeout", "15000ms"}};
    return result;
}

std::string endpoint(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

} // namespace

temporary_folder::temporary_folder()
{
    std::string path = (std::filesystem::temp_directory_path() / "mulberry-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("cannot create a folder");
    m_path = path;
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

sidecar_process::sidecar_process(std::string name, std::string service, std::uint16_t store_port,
                                 const temporary_folder& folder, const fleet_limits& limits, std::uint16_t target)
    : m_name(std::move(name)), m_service(std::move(service))
{
    const std::string settings = folder.file(m_name + ".toml");
    const std::uint16_t used_target = target == 0 ? m_target.port() : target;
    write_settings(settings, limits, store_port, used_target);
    m_process = std::make_unique<child_process>(std::vector<std::string>{MULBERRY_SIDECAR, "--settings", settings},
                                                folder.file(m_name + ".log"), limits.descriptors);
    m_heartbeats = std::make_unique<heartbeat_sender>(m_service, used_target, m_announcements, limits.slots);
}

void sidecar_process::write_settings(const std::string& file, const fleet_limits& limits, std::uint16_t store_port,
                                     std::uint16_t target) const
{
    std::ofstream out(file);
    out << "node_name = \"" << m_name << "\"\nfailure_domain = \"quay\"\nregion = \"south\"\n"
        << "service = \"" << m_service << "\"\nupstream = " << endpoint(target)
        << "callers_listen = " << endpoint(m_callers) << "peers_listen = " << endpoint(m_peers)
        << "readiness_listen = " << endpoint(m_readiness) << "announcements_listen = " << endpoint(m_announcements)
        << "metrics_listen = " << endpoint(m_metrics) << "store = " << endpoint(store_port)
        << "memory_limit_mb = " << limits.memory_mib << "\ndescriptor_limit = " << limits.descriptors << "\n";
}

bool sidecar_process::is_ready() const
{
    return exchange(m_readiness, {"GET", "/-/ready", {{"Host", "node"}}, ""}, 1000).status == 200;
}

sidecar_fleet::sidecar_fleet(const fleet_limits& limits) : m_limits(limits)
{
    m_store.put_configuration(make_configuration());
    for (const std::string service : {"near", "far"}) {
        const std::uint16_t other_target = service == "far" ? limits.far_target : 0;
        m_nodes.push_back(std::make_unique<sidecar_process>("node-" + service, service, m_store.add_machine(service),
                                                            m_folder, limits, other_target));
    }
    wait_until([this] { return near().is_ready() && far().is_ready(); });
    const bool far_serves = limits.far_target != 0 || is_answered(near().callers(), "/far/ok");
    if (!is_answered(near().callers(), "/near/ok") || !far_serves)
        throw std::runtime_error("the fleet does not serve");
}

bool sidecar_fleet::is_within_memory()
{
    return std::ranges::all_of(m_nodes, [this](const auto& node) {
        return node->process().is_running() && node->process().peak_memory_bytes() <= m_limits.memory_mib * mebibyte;
    });
}

daemon_process::daemon_process()
{
    std::ofstream(m_folder.file("orders.toml"))
        << "service = \"orders\"\nslots = 500\nqueue_limit = 500\n"
           "[[routes]]\nname = \"get\"\nmethod = \"GET\"\npath = \"/**\"\nopen = true\nidempotent = true\n"
           "deadline = \"30s\"\n"
           "[[routes]]\nname = \"post\"\nmethod = \"POST\"\npath = \"/**\"\nopen = true\ndeadline = \"30s\"\n";
    std::ofstream settings(m_folder.file("settings.toml"));
    settings << "node_name = \"orders-1\"\nfailure_domain = \"quay\"\nregion = \"south\"\nservice = \"orders\"\n"
             << "upstream_url = \"http://127.0.0.1:" << m_target.port()
             << "\"\ncallers_listen = " << endpoint(m_callers)
             << "nested_listen = \"127.0.0.1:0\"\nstore = \"memory\"\ndocument_files = [\""
             << m_folder.file("orders.toml") << "\"]\n";
    settings.close();
    m_process = std::make_unique<child_process>(
        std::vector<std::string>{MULBERRY_DAEMON, "--settings", m_folder.file("settings.toml")},
        m_folder.file("daemon.log"));
    if (!is_answered(m_callers, "/orders/ok"))
        throw std::runtime_error("the daemon does not serve");
}

std::string request_head(const std::string& method, const std::string& path, const std::string& further_fields)
{
    static std::atomic<std::uint64_t> last_id{0};
    return method + " " + path + " HTTP/1.1\r\nHost: fleet.example\r\nX-Mulberrygrade-Request-Id: r-" +
           std::to_string(++last_id) + "\r\nX-Mulberrygrade-Deadline-Ms: " + std::to_string(request_timeout_ms) +
           "\r\n" + further_fields + "\r\n";
}

void add_to(crowd& clients, std::uint16_t port, std::size_t count, const std::function<std::string()>& bytes)
{
    for (std::size_t i = 0; i < count; ++i) {
        auto link = connection::to(port);
        if (link && link->write(bytes()))
            clients.push_back(std::move(link));
    }
}

stubborn_crowd::stubborn_crowd(std::uint16_t port, std::size_t count, std::function<std::string()> bytes)
    : m_thread([this, port, count, bytes = std::move(bytes)] {
          crowd clients;
          while (!m_stopping) {
              std::erase_if(clients, [](const auto& client) { return client->is_closed_by_peer(); });
              add_to(clients, port, count - clients.size(), bytes);
              sleep_ms(poll_period_ms);
          }
      })
{
}

stubborn_crowd::~stubborn_crowd()
{
    m_stopping = true;
    m_thread.join();
}

void add_slow_readers(crowd& clients, std::uint16_t port, std::size_t count, const std::string& path)
{
    for (std::size_t i = 0; i < count; ++i) {
        auto link = connection::to(port);
        if (!link || !link->write(request_head("GET", path)))
            continue;
        pollfd entry{link->fd(), POLLIN, 0};
        ::poll(&entry, 1, request_timeout_ms);
        clients.push_back(std::move(link));
    }
}

bool is_answered_at_once(std::uint16_t port, const std::string& path, const std::string& body)
{
    const std::string fields = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const auto link = connection::to(port);
    if (!link || !link->write(request_head(body.empty() ? "GET" : "POST", path, fields) + body))
        return false;
    const response answer = link->read_response(clock::now() + milliseconds(request_timeout_ms));
    return answer.status == 200 && answer.complete && answer.body.starts_with(scripted_target::body_begin);
}

bool is_answered(std::uint16_t port, const std::string& path, const std::string& body)
{
    return wait_until([&] { return is_answered_at_once(port, path, body); });
}

bool wait_until(const std::function<bool()>& condition)
{
    const double end = now_s() + wait_limit_s;
    while (!condition()) {
        if (now_s() > end)
            return false;
        sleep_ms(poll_period_ms);
    }
    return true;
}

} // namespace mulberry::processes
