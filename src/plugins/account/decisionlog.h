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
    /// When this run began; records of earlier runs are lost.
    wall_time started{};
    std::size_t max_bytes = 16'777'216;
    /// Refusals at the entry are copied to a peer in batches of at most this age and size. Under overload they are more
    /// than control traffic may carry; what is not copied is named in the batch.
    duration copy_period{std::chrono::seconds(1)};
    std::size_t max_copy_bytes = 2'048;
    /// How long explain waits for other nodes.
    duration explain_timeout{std::chrono::seconds(3)};
};

/// The merged account of a request, ordered by hop, role and node. What is missing is named.
struct explanation {
    std::vector<decision_record> records;
    std::vector<lost_records> lost;
    /// Members that were asked and did not answer.
    std::vector<std::string> silent_nodes;
};

/// Keeps what this node decided, within a memory bound, and answers why. Attach it to control_channel::account.
class decision_log final : public control_handler {
public:
    decision_log(decision_log_settings settings, timer_service& timers, control_link& link,
                 const member_directory& members);
    ~decision_log() override;

    /// Adds a record; a refusal of a caller's request at the entry is also copied to a peer.
    void record(const decision_record& decision);
    /// The records that this node holds about a request, copies from peers included.
    std::vector<decision_record> find(std::string_view request_id) const;
    /// What this node no longer has; empty if nothing was evicted.
    std::vector<lost_records> lost() const;

    /// Asks the other members and merges their answers; the callback comes once, within the timeout.
    void explain(std::string_view request_id, std::function<void(explanation)> done);

    std::size_t bytes() const;
    std::size_t size() const;

    void on_message(std::string_view from, std::string_view payload) override;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
