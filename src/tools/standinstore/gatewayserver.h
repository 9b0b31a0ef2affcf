#pragma once

#include "libs/store/memorystore.h"
#include "tools/standincommon/standinserver.h"
#include "tools/standinstore/realtimers.h"
#include "tools/standinstore/watchqueue.h"

#include <mutex>
#include <thread>

#include <nlohmann/json_fwd.hpp>

namespace mulberry {

/// Faults of the stand-in, set over POST /standin/faults.
struct gateway_faults {
    /// Every call and every watch loses its connection without effect.
    bool down = false;
    /// Every call is refused with the gateway's error body, without effect.
    bool unavailable = false;
    /// Answers are no JSON; writes take effect.
    bool garbage = false;
    /// Wait before each call, in addition to the work.
    duration delay{0};
    /// So many next writes take effect and lose their answer.
    std::uint32_t lose_answers = 0;
};

/// Calls since the start.
struct gateway_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lease_calls = 0;
    std::uint64_t watches = 0;
    std::uint64_t lost_answers = 0;
};

/// The subset of the etcd v3 HTTP/JSON gateway that mulberryd uses: range of one key or of a prefix, transactions of
/// one comparison of mod_revision with one put or delete, lease grant and keep-alive, and watches of a prefix. Other
/// requests are answered as unimplemented.
///
/// Its own paths: POST /standin/faults (JSON with members of gateway_faults), POST /standin/lapse (JSON with the "ID"
/// of a lease, or {} for all leases), GET /standin/stats.
class gateway_server {
public:
    gateway_server();
    gateway_server(const gateway_server&) = delete;
    gateway_server& operator=(const gateway_server&) = delete;
    ~gateway_server();

    /// Returns the port.
    std::uint16_t start(const std::string& address, std::uint16_t port) { return m_server.start(address, port); }
    void stop();

private:
    using json = nlohmann::json;

    standin_answer handle(const standin_request& request);
    standin_answer handle_own_path(const standin_request& request);
    standin_answer set_faults(const json& members);
    standin_answer lapse(const json& members);
    standin_answer stats();
    standin_answer perform(const standin_request& request);
    standin_answer dispatch(std::string_view path, const json& body);
    standin_answer range(const json& request);
    standin_answer txn(const json& request);
    standin_answer grant(const json& request);
    standin_answer keep_alive(const json& request);
    standin_answer watch(const json& request);
    standin_answer after_write(standin_answer answer);
    template <typename Result>
    leaf::result<Result> result_of(std::function<void(std::function<void(leaf::result<Result>)>)> call);
    json header() const;
    void tick();

    std::mutex m_mutex;
    real_timers m_timers;
    memory_store m_store{m_timers};
    std::map<lease_id, std::int64_t> m_lease_seconds;
    std::map<watch_id, std::weak_ptr<watch_queue>> m_queues;
    gateway_faults m_faults;
    gateway_counters m_counters;
    bool m_stopping = false;
    standin_server m_server;
    std::thread m_ticker;
};

} // namespace mulberry
