#pragma once

#include "libs/store/memorystore.h"
#include "tools/standincommon/standinserver.h"
#include "tools/standinstore/realtimers.h"
#include "tools/standinstore/watchqueue.h"

#include <mutex>
#include <thread>

#include <nlohmann/json_fwd.hpp>

namespace mulberry {

/// Faults that the stand-in injects; set by POST /standin/faults.
struct gateway_faults {
    /// Drops the connection of every call without effect, and ends every open watch.
    bool down = false;
    /// Refuses every call with the gateway's error body, without effect.
    bool unavailable = false;
    /// Replaces response bodies by a text that is not JSON; writes take effect.
    bool garbage = false;
    /// Additional delay before each call.
    duration delay{0};
    /// Number of upcoming writes that take effect and whose connection is dropped without a response.
    std::uint32_t lose_answers = 0;
};

/// Numbers of calls since the start.
struct gateway_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lease_calls = 0;
    std::uint64_t watches = 0;
    std::uint64_t lost_answers = 0;
};

/// In-memory stand-in for etcd that implements the subset of the v3 HTTP/JSON gateway which mulberryd uses: range of
/// one key or of a prefix, transactions of one comparison of mod_revision with one put or delete, lease grant and
/// keep-alive, and watches of a prefix. Other requests get an error response.
///
/// Control paths: POST /standin/faults (JSON with members of gateway_faults), POST /standin/lapse (expires the lease
/// whose "ID" the JSON object has, or all leases for {}), GET /standin/stats.
class gateway_server {
public:
    gateway_server();
    gateway_server(const gateway_server&) = delete;
    gateway_server& operator=(const gateway_server&) = delete;
    ~gateway_server();

    /// Listens on an IPv4 address and returns the port; port 0 selects a free one. Throws std::system_error.
    std::uint16_t start(const std::string& address, std::uint16_t port) { return m_server.start(address, port); }
    void stop();

private:
    using json = nlohmann::json;

    standin_response handle(const standin_request& request);
    standin_response handle_control_path(const standin_request& request);
    standin_response set_faults(const json& members);
    standin_response expire_leases(const json& members);
    standin_response stats();
    standin_response handle_store_call(const standin_request& request);
    standin_response dispatch(std::string_view path, const json& body);
    standin_response range(const json& request);
    standin_response txn(const json& request);
    standin_response grant(const json& request);
    standin_response keep_alive(const json& request);
    standin_response open_watch(const json& request);
    /// Drops the connection of the response if the lose_answers fault applies to this write.
    standin_response finish_write(standin_response response);
    /// Makes a call to the in-memory store and returns its result. The caller holds the mutex.
    template <typename Result>
    leaf::result<Result> call_store(std::function<void(std::function<void(leaf::result<Result>)>)> call);
    /// Returns the header of a gateway response, which contains the store's revision.
    json header() const;
    /// Runs due timers of the store until the server stops; executed on m_timer_thread.
    void run_timers();

    /// Protects all members below except the server and the thread.
    std::mutex m_mutex;
    real_timers m_timers;
    memory_store m_store{m_timers};
    /// Time to live of each granted lease, in seconds.
    std::map<lease_id, std::int64_t> m_lease_seconds;
    /// Queues of the open watches.
    std::map<watch_id, std::weak_ptr<watch_queue>> m_queues;
    gateway_faults m_faults;
    gateway_counters m_counters;
    bool m_stopping = false;
    standin_server m_server;
    std::thread m_timer_thread;
};

} // namespace mulberry
