#pragma once

#include "libs/base/controllink.h"
#include "libs/base/periodictimer.h"
#include "libs/base/randomsource.h"
#include "plugins/account/decisionrecord.h"
#include "plugins/membership/memberdirectory.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

struct decision_log_settings {
    std::string node;
    std::size_t max_bytes = 16'777'216;
    /// Refusals at the entry are copied to a peer in batches of at most this age and size.
    duration copy_period{std::chrono::seconds(1)};
    std::size_t max_copy_bytes = 16'384;
    /// How long explain waits for other nodes.
    duration explain_timeout{std::chrono::seconds(3)};
};

/// Records of a node that are gone: all kinds between the times may be missing, `records` of them.
struct lost_records {
    std::string node;
    wall_time from{};
    wall_time until{};
    std::uint64_t records = 0;
    /// Whether refused, unknown or non-idempotent records are among them.
    bool protected_lost = false;

    bool operator==(const lost_records&) const = default;
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

    /// Adds a record; a refusal at the entry is also copied to a peer.
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
