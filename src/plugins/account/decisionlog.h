#pragma once

#include "libs/base/controllink.h"
#include "libs/base/periodictimer.h"
#include "plugins/account/decisionrecord.h"
#include "plugins/account/lostrecords.h"
#include "plugins/membership/memberdirectory.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

struct decision_log_settings {
    std::string node;
    /// Start time of this process. The records of earlier runs are lost.
    wall_time started{};
    /// Memory limit of the records.
    std::size_t max_bytes = 16'777'216;
    /// Refusals at the entry are copied to a peer in batches with this period and maximum size. Under overload, they
    /// would exceed the bandwidth for control traffic; each batch reports how many refusals were not copied.
    duration copy_period{std::chrono::seconds(1)};
    std::size_t max_copy_bytes = 2'048;
    /// How long `explain` waits for the responses of other nodes.
    duration explain_timeout{std::chrono::seconds(3)};
};

/// The merged account of a request. The records are ordered by hop, role and node. Lost records and missing responses
/// are listed.
struct explanation {
    std::vector<decision_record> records;
    std::vector<lost_records> lost;
    /// Members that were not queried in time or did not respond.
    std::vector<std::string> silent_nodes;
};

/// Stores the decisions of this node within a memory limit, and explains the decisions about a request. Attach the log
/// to control_channel::account.
class decision_log final : public control_handler {
public:
    decision_log(decision_log_settings settings, timer_service& timers, control_link& link,
                 const member_directory& members);
    ~decision_log() override;

    /// Adds a record. If it is a refusal of a caller's request at the entry, a copy is sent to a peer.
    void record(const decision_record& decision);
    /// The records that this node has of a request, including copies from peers.
    std::vector<decision_record> find(std::string_view request_id) const;
    /// The ranges of records that this node no longer has: evicted records and those of earlier runs.
    std::vector<lost_records> lost() const;

    /// Queries the other members and merges their responses. The callback is called once, within the timeout.
    void explain(std::string_view request_id, std::function<void(explanation)> done);

    /// Memory of the records in bytes, approximately.
    std::size_t bytes() const;
    /// Number of records.
    std::size_t size() const;

    void on_message(std::string_view from, std::string_view payload) override;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
