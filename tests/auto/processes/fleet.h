#pragma once

#include "auto/processes/childprocess.h"
#include "auto/processes/scriptedtarget.h"

#include <store.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mulberry::processes {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

/// A folder for the files of one test that is removed at its end.
class temporary_folder {
public:
    temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder();

    std::string file(const std::string& name) const { return (m_path / name).string(); }

private:
    std::filesystem::path m_path;
};

/// Lowered limits, so that a small crowd reaches them.
struct fleet_limits {
    std::size_t memory_mib = 64;
    std::size_t descriptors = 1000;
    /// Concurrent requests of each target.
    int slots = 500;
    /// Port of another target than far().target() beside the second sidecar; 0 if there is none.
    std::uint16_t far_target = 0;
};

/// A sidecar process with the target beside it.
class sidecar_process {
public:
    /// `target` is the port of another target than target(); 0 if there is none.
    sidecar_process(std::string name, std::string service, std::uint16_t store_port, const temporary_folder& folder,
                    const fleet_limits& limits, std::uint16_t target = 0);

    std::uint16_t callers() const { return m_callers; }
    std::uint16_t peers() const { return m_peers; }
    std::uint16_t metrics() const { return m_metrics; }
    child_process& process() { return *m_process; }
    scripted_target& target() { return m_target; }
    bool is_ready() const;

private:
    void write_settings(const std::string& file, const fleet_limits& limits, std::uint16_t store_port,
                        std::uint16_t target) const;

    std::string m_name;
    std::string m_service;
    std::uint16_t m_callers = standin::free_port();
    std::uint16_t m_peers = standin::free_port();
    std::uint16_t m_readiness = standin::free_port();
    std::uint16_t m_announcements = standin::free_port();
    std::uint16_t m_metrics = standin::free_port();
    scripted_target m_target;
    std::unique_ptr<child_process> m_process;
    std::unique_ptr<heartbeat_sender> m_heartbeats;
};

/// Two sidecars with a store. Callers use the first one; the path selects the target beside it ("/near/") or the one
/// beside the other ("/far/"). Both paths allow any method and no key; "/far-once/" is not idempotent.
class sidecar_fleet {
public:
    explicit sidecar_fleet(const fleet_limits& limits = {});

    sidecar_process& near() { return *m_nodes[0]; }
    sidecar_process& far() { return *m_nodes[1]; }

    /// Whether both processes run and have stayed within their memory limit.
    bool is_within_memory();

private:
    fleet_limits m_limits;
    temporary_folder m_folder;
    standin::store m_store;
    std::vector<std::unique_ptr<sidecar_process>> m_nodes;
};

/// A `mulberryd` process with its target. Paths begin with "/orders/".
class daemon_process {
public:
    daemon_process();

    std::uint16_t callers() const { return m_callers; }
    child_process& process() { return *m_process; }
    scripted_target& target() { return m_target; }

private:
    temporary_folder m_folder;
    std::uint16_t m_callers = standin::free_port();
    scripted_target m_target;
    std::unique_ptr<child_process> m_process;
};

/// Header of a request with its own id; further fields end with CRLF each.
std::string request_head(const std::string& method, const std::string& path, const std::string& further_fields = {});

/// Open connections of misbehaving clients.
using crowd = std::vector<std::unique_ptr<standin::connection>>;

/// Opens connections that each send these bytes and read nothing.
void add_to(crowd& clients, std::uint16_t port, std::size_t count, const std::function<std::string()>& bytes);

/// Clients that send these bytes and nothing more. Each opens a new connection when its connection is closed.
class stubborn_crowd {
public:
    stubborn_crowd(std::uint16_t port, std::size_t count, std::function<std::string()> bytes);
    stubborn_crowd(const stubborn_crowd&) = delete;
    stubborn_crowd& operator=(const stubborn_crowd&) = delete;
    ~stubborn_crowd();

private:
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

/// Opens connections one after the other that each ask for this path and read nothing. Each waits for the first bytes
/// of its response, so that the target sends them one at a time.
void add_slow_readers(crowd& clients, std::uint16_t port, std::size_t count, const std::string& path);

/// Sends an ordinary request until it is answered with 200 and a complete body. A caller that gets a refusal asks
/// again.
bool is_answered(std::uint16_t port, const std::string& path, const std::string& body = {});
/// As above, but sends the request only once.
bool is_answered_at_once(std::uint16_t port, const std::string& path, const std::string& body = {});

/// Waits up to 30 s until the condition holds.
bool wait_until(const std::function<bool()>& condition);

} // namespace mulberry::processes
