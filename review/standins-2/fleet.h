// Parts of a small deployment: the sidecar processes, targets with heartbeats, clients, and the record of a case.
#pragma once

#include "store.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

namespace standin {

/// Writes a line with the time to record.txt of the case.
class record_file {
public:
    explicit record_file(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {}
    record_file(const record_file&) = delete;
    record_file& operator=(const record_file&) = delete;
    ~record_file()
    {
        if (m_file != nullptr)
            std::fclose(m_file);
    }
    bool is_open() const { return m_file != nullptr; }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f ", now_s());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
};

/// Figures of the settings, those of the site tambour-pipes.
struct deployment_figures {
    int memory_mb = 260;
    int max_fds = 4100;
};

/// One sidecar process with the command of the deploy file. It ends with this program.
class sidecar {
public:
    std::string name;
    std::string zone;
    std::string service;
    std::uint16_t target_port = 0;
    std::uint16_t outbound = 0;
    std::uint16_t inbound = 0;
    std::uint16_t readiness = 0;
    std::uint16_t control = 0;
    std::uint16_t store_port = 0;

    sidecar(std::string node, std::string in_zone, std::string of_service, std::uint16_t store_at, std::string folder,
            const deployment_figures& figures = {})
        : name(std::move(node)), zone(std::move(in_zone)), service(std::move(of_service)), target_port(free_port()),
          outbound(free_port()), inbound(free_port()), readiness(free_port()), control(free_port()),
          store_port(store_at), m_folder(std::move(folder)), m_figures(figures)
    {
    }
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;
    ~sidecar() { kill(); }

    pid_t pid() const { return m_pid; }

    /// Writes the settings file, as the platform does at each start and whenever the settings change.
    void write_settings() const
    {
        std::ofstream out(settings_file());
        const auto at = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        out << "node_name = \"" << name << "\"\nfailure_domain = \"" << zone << "\"\nregion = \"plaines-wilhems\"\n"
            << "service = \"" << service << "\"\nupstream = " << at(target_port) << "callers_listen = " << at(outbound)
            << "peers_listen = " << at(inbound) << "readiness_listen = " << at(readiness)
            << "announcements_listen = " << at(control) << "store = " << at(store_port)
            << "shortest_lease = \"1000ms\"\nmemory_limit_mb = " << m_figures.memory_mb
            << "\ndescriptor_limit = " << m_figures.max_fds
            << "\nwithdrawal_limit = \"5000ms\"\ndrain_limit = \"2500ms\"\nstop_limit = \"6s\"\n"
               "retry_ratio = 0.2\nretry_slack = 48\nretry_window = \"10s\"\n";
    }

    void start()
    {
        write_settings();
        const std::string file = settings_file();
        const std::string log = m_folder + "/" + name + ".log";
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::setsid();
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        ::setenv("MULBERRYGRADE_SETTINGS", file.c_str(), 1);
        ::execl("target/platform/mulberrysidecar", "target/platform/mulberrysidecar", nullptr);
        ::_exit(127);
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    /// Whether the process has ended by itself; its wait status is then in `status`.
    bool has_ended(int& status)
    {
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        m_pid = 0;
        return true;
    }

    bool is_ready() const
    {
        return exchange(readiness, {"GET", "/-/ready", {{"Host", "node"}}, ""}, 500).status == 200;
    }

    /// Kilobytes of a line of /proc/PID/status, such as VmRSS.
    long memory_kb(const std::string& row) const
    {
        std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(in, line)) {
            if (line.starts_with(row + ":"))
                return std::atol(line.c_str() + row.size() + 1);
        }
        return 0;
    }

private:
    std::string settings_file() const { return m_folder + "/" + name + ".toml"; }

    std::string m_folder;
    deployment_figures m_figures;
    pid_t m_pid = 0;
};

struct run_entry {
    double at = 0;
    std::string request_id;
    std::string service;
    std::string instance;
    std::string tenant;
    std::string path;
};

/// What all targets have run.
class run_log {
public:
    explicit run_log(record_file& record) : m_record(record) {}

    void add(run_entry entry)
    {
        m_record.line("run id=%s service=%s instance=%s tenant=%s path=%s", entry.request_id.c_str(),
                      entry.service.c_str(), entry.instance.c_str(), entry.tenant.c_str(), entry.path.c_str());
        const std::lock_guard lock(m_mutex);
        m_entries.push_back(std::move(entry));
    }
    std::vector<run_entry> entries() const
    {
        const std::lock_guard lock(m_mutex);
        return m_entries;
    }

private:
    record_file& m_record;
    mutable std::mutex m_mutex;
    std::vector<run_entry> m_entries;
};

/// A sound target beside a sidecar: slots, a short queue, expected instance, signature, heartbeats.
class target {
public:
    using special = std::function<std::optional<bool>(connection&, const request&)>;

    std::string id;
    std::string service;
    int slots = 100;
    int work_ms = 20;
    std::string answer = std::string(400, 'x');
    /// What the heartbeats say: draining or ready.
    std::atomic<bool> is_draining{false};
    /// May answer a request in another way; nothing means the usual one.
    special on_request;

    target(std::string instance, std::string of_service, std::uint16_t port, std::uint16_t control, run_log& runs,
           record_file& record)
        : id(std::move(instance)), service(std::move(of_service)), m_port(port), m_control(control), m_runs(runs),
          m_record(record),
          m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
    }
    target(const target&) = delete;
    target& operator=(const target&) = delete;
    ~target() { crash(); }

    void start()
    {
        m_server = std::make_unique<server>(
            [this](connection& link, const request& message) { return handle(link, message); }, m_port);
        m_beats = std::thread([this] { send_heartbeats(); });
    }

    /// The time of day of the machine differs by this at the start of the target.
    void shift_start(int offset_ms) { m_born += offset_ms; }

    /// Ends without a word: connections are reset, the port is closed, no more heartbeats.
    void crash()
    {
        if (m_ended.exchange(true))
            return;
        if (m_server)
            m_server->stop_listening();
        if (m_server)
            m_server->reset_all();
        if (m_beats.joinable())
            m_beats.join();
        m_server.reset();
    }

    /// One heartbeat; returns whether it was acknowledged.
    bool send_heartbeat()
    {
        const json body{
            {"address", "127.0.0.1:" + std::to_string(m_port)},
            {"born", m_born},
            {"info", {{"service", service}, {"version", "v1"}, {"zone", "z"}, {"slots", slots}}},
            {"status",
             {{"state", is_draining ? "draining" : "ready"}, {"sequence", ++m_sequence}, {"cold_remaining", "0ms"}}}};
        const response result = exchange(
            m_control,
            {"PUT", "/-/instances/" + id, {{"Host", "node"}, {"Content-Type", "application/json"}}, body.dump()}, 1000);
        return result.status == 200 && result.complete;
    }

    /// Deregisters; returns whether that was acknowledged. No heartbeats follow.
    bool deregister()
    {
        m_deregistered = true;
        const response result = exchange(m_control,
                                         {"DELETE",
                                          "/-/instances/" + id,
                                          {{"Host", "node"}, {"Content-Type", "application/json"}},
                                          json{{"born", m_born}}.dump()},
                                         1000);
        return result.status == 200 && result.complete;
    }

private:
    void send_heartbeats()
    {
        while (!m_ended) {
            if (!m_deregistered)
                send_heartbeat();
            for (int i = 0; i < 150 && !m_ended; ++i)
                sleep_ms(10);
        }
    }

    bool handle(connection& link, const request& message)
    {
        const std::string request_id = header_of(message.fields, "X-Mulberrygrade-Request-Id");
        headers fields{{"X-Mulberrygrade-Instance-Id", id}};
        if (!request_id.empty())
            fields.emplace_back("X-Mulberrygrade-Request-Id", request_id);
        if (message.target == "/healthz")
            return link.write(to_wire(200, fields, ""));
        const std::string expected = header_of(message.fields, "X-Mulberrygrade-Expected-Instance");
        if (!expected.empty() && expected != id)
            return link.write(to_wire(421, fields, ""));
        if (++m_running > slots) {
            --m_running;
            fields.emplace_back("X-Mulberrygrade-Not-Executed", "1");
            return link.write(to_wire(503, fields, ""));
        }
        m_runs.add(
            {now_s(), request_id, service, id, header_of(message.fields, "X-Mulberrygrade-Tenant"), message.target});
        if (on_request) {
            if (const auto keep = on_request(link, message)) {
                --m_running;
                return *keep;
            }
        }
        for (int waited = 0; waited < work_ms && !m_ended; waited += 2)
            sleep_ms(2);
        --m_running;
        if (m_ended)
            return false;
        fields.emplace_back("X-Mulberrygrade-Server-Signature", "sig-" + id + "-" + request_id);
        return link.write(to_wire(200, fields, answer));
    }

    std::uint16_t m_port;
    std::uint16_t m_control;
    run_log& m_runs;
    record_file& m_record;
    std::int64_t m_born;
    std::unique_ptr<server> m_server;
    std::thread m_beats;
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<int> m_running{0};
    std::atomic<bool> m_deregistered{false};
    std::atomic<bool> m_ended{false};
};

struct call_result {
    std::string request_id;
    double sent_at = 0;
    double ended_at = 0;
    int status = 0;
    bool complete = false;
    std::string signature;
};

/// Sends requests of clients and keeps what came back.
class client_log {
public:
    explicit client_log(record_file& record) : m_record(record) {}

    call_result call(const sidecar& node, const std::string& method, const std::string& host, const std::string& path,
                     const std::string& key, int deadline_ms, const std::string& body = {})
    {
        call_result result;
        result.request_id = "r" + std::to_string(++m_last);
        request message{method, path, {{"Host", host}, {"X-Mulberrygrade-Request-Id", result.request_id}}, body};
        message.fields.emplace_back("X-Mulberrygrade-Deadline-Ms", std::to_string(deadline_ms));
        if (!key.empty())
            message.fields.emplace_back("Authorization", "Token " + key);
        result.sent_at = now_s();
        const response got = exchange(node.outbound, message, deadline_ms + 200);
        result.ended_at = now_s();
        result.status = got.status;
        result.complete = got.complete;
        result.signature = header_of(got.fields, "X-Mulberrygrade-Server-Signature");
        m_record.line("call id=%s node=%s %s %s%s sent=%.3f status=%d complete=%d signature=%s body=%.80s",
                      result.request_id.c_str(), node.name.c_str(), method.c_str(), host.c_str(), path.c_str(),
                      result.sent_at, result.status, result.complete ? 1 : 0, result.signature.c_str(),
                      got.status == 200 ? "" : got.body.c_str());
        const std::lock_guard lock(m_mutex);
        m_results.push_back(result);
        return result;
    }

    std::vector<call_result> results() const
    {
        const std::lock_guard lock(m_mutex);
        return m_results;
    }

private:
    record_file& m_record;
    std::atomic<std::uint64_t> m_last{0};
    mutable std::mutex m_mutex;
    std::vector<call_result> m_results;
};

inline json make_route(const std::string& host, const std::string& prefix, const std::string& kind,
                       const std::string& service, const std::string& timeout, bool is_public, int max_attempts = 2)
{
    return {{"hostname", host},   {"path_prefix", prefix}, {"route_type", kind},
            {"timeout", timeout}, {"aim", "1000ms"},       {"priority", 0},
            {"service", service}, {"public", is_public},   {"max_attempts", max_attempts}};
}

inline json make_configuration(std::int64_t version, const std::vector<std::string>& services)
{
    json result{{"version", "r" + std::to_string(version)}, {"routes", json::object()}, {"services", json::object()}};
    for (const std::string& service : services)
        result["services"][service] = {
            {"health_path", "/healthz"}, {"max_connections", 940}, {"protocol", "h1"}, {"tls", false}};
    result["limits"] = {{"max_header_bytes", 16384},
                        {"max_body_bytes", 67108864},
                        {"header_timeout", "3000ms"},
                        {"idle_timeout", "15000ms"}};
    return result;
}

template <typename Condition>
bool wait_until(Condition holds, double limit_s)
{
    const double end = now_s() + limit_s;
    while (now_s() < end) {
        if (holds())
            return true;
        sleep_ms(20);
    }
    return false;
}

inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// A folder that is removed at the end, unless KEEP=1.
class work_folder {
public:
    work_folder()
    {
        char name[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(name) != nullptr)
            m_path = name;
    }
    work_folder(const work_folder&) = delete;
    work_folder& operator=(const work_folder&) = delete;
    ~work_folder()
    {
        if (m_path.empty() || std::getenv("KEEP") != nullptr)
            return;
        const int ignored = std::system(("rm -rf " + m_path).c_str());
        (void)ignored;
    }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace standin
