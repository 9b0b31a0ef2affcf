#pragma once

#include "libs/base/controllink.h"
#include "libs/base/periodictimer.h"
#include "libs/base/randomsource.h"
#include "plugins/membership/memberdirectory.h"
#include "plugins/quarantine/completioncache.h"
#include "plugins/quarantine/quarantinearchive.h"
#include "plugins/quarantine/requestquarantine.h"
#include "plugins/quarantine/suspecttable.h"

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace mulberry {

/// Refuses requests that crash the upstreams that run them. Each node reports which requests were running when its
/// upstream crashed. Reports spread from node to node by gossip, and nodes compare what they know of requests with
/// several crashes with random other nodes, so that restarted and reconnected nodes learn it too.
class quarantine_service final : public request_quarantine, public control_handler {
public:
    quarantine_service(node_id self, timer_service& timers, random_source& random, const member_directory& members,
                       control_link& control, key_value_store& store);
    ~quarantine_service() override;

    std::optional<refusal> check(request_fingerprint fingerprint) override;
    bool needs_isolation(request_fingerprint fingerprint) const override;
    void on_completed(request_fingerprint fingerprint) override;
    void on_upstream_crashed(std::span<const request_fingerprint> running) override;

    void on_message(std::string_view from, std::string_view payload) override;

    /// Number of requests that are refused.
    std::size_t quarantined() const { return m_suspects.conclusive_count(); }
    /// Number of requests that were running when an upstream crashed, including those that did not cause it.
    std::size_t suspects() const { return m_suspects.size(); }

private:
    void merge(std::span<const crash_report> reports);
    /// Adds a report and appends the requests with a new crash to `suspected`.
    void merge(const crash_report& report, std::vector<request_fingerprint>& suspected);
    /// The only one of these requests that has run at several crashes; 0 if there is none or more than one.
    request_fingerprint isolated_suspect(std::span<const request_fingerprint> running) const;
    /// Draws conclusions about requests with a new crash and logs them.
    void on_suspected(std::span<const request_fingerprint> fingerprints);
    /// Writes a request in quarantine to the store if the upstream beside this node is among those that crashed.
    void save(request_fingerprint fingerprint);
    void schedule_gossip(request_fingerprint fingerprint);
    void gossip();
    void synchronise();
    void send(std::string_view node, const quarantine_message& message);
    std::vector<std::string> random_members(std::size_t count);

    node_id m_self;
    timer_service& m_timers;
    random_source& m_random;
    const member_directory& m_members;
    control_link& m_control;
    time_point m_started_at;
    detail::suspect_table m_suspects;
    detail::completion_cache m_completions;
    quarantine_archive m_archive;
    std::uint64_t m_crashes = 0;
    /// The last crashes of the upstream beside this node.
    std::deque<crash_id> m_own_crashes;
    /// Requests about which something new is to be passed on.
    std::set<request_fingerprint> m_changed;
    timer_id m_gossip_timer = 0;
    periodic_timer m_sync_timer;
};

} // namespace mulberry
