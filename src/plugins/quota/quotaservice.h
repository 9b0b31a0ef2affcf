#pragma once

#include "libs/base/controllink.h"
#include "libs/base/periodictimer.h"
#include "plugins/entry/ratelimiter.h"
#include "plugins/membership/memberdirectory.h"
#include "plugins/quota/localquota.h"
#include "plugins/quota/quotacoordinator.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// Enforces the rate limits of organisations over all nodes. The node with the lowest name is the coordinator, which
/// grants all tokens. Every node requests tokens in advance of its demand, and requests without a token wait briefly
/// for more. A node that gets no response from the coordinator uses its even share of each rate, which the coordinator
/// withholds meanwhile.
class quota_service final : public rate_limiter, public control_handler {
public:
    quota_service(const quota_settings& settings, std::string own_name, timer_service& timers,
                  const member_directory& members, control_link& control);
    ~quota_service() override;

    void set_limits(std::vector<quota_limit> limits);

    void admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done) override;
    void on_message(std::string_view from, std::string_view payload) override;

private:
    using organisation_quota = detail::local_quota;
    using quota_map = std::map<std::string, organisation_quota, std::less<>>;

    /// Removes the quota of an organisation that has no limit any more. Returns the next position.
    quota_map::iterator remove_quota(quota_map::iterator position);
    std::string coordinator() const;
    /// Returns the current coordinator. Notices a change of it, so that a new term begins before the first grant.
    const std::string& update_coordinator();
    /// Adds an organisation to a report, with the level that an earlier coordinator has left.
    void add_to_report(quota_report& report, const std::string& organisation, organisation_quota& quota,
                       std::uint32_t token_count);
    void send_report();
    void request_tokens(const std::string& organisation, organisation_quota& quota);
    void send(quota_report message);
    void on_grant(const std::string& from, const quota_grant& grant);
    void admit_waiters(organisation_quota& quota);
    void refuse_waiters(organisation_quota& quota, time_point waiting_since);
    void schedule_wait_limit(const std::string& organisation);
    bool is_coordinator_reachable() const;
    refusal rate_refusal(const organisation_quota& quota) const;

    quota_settings m_settings;
    std::string m_own_name;
    timer_service& m_timers;
    const member_directory& m_members;
    control_link& m_control;
    quota_coordinator m_coordinator;
    std::map<std::string, quota_limit, std::less<>> m_limits;
    quota_map m_organisation_quotas;
    std::string m_last_coordinator;
    time_point m_last_coordinator_response;
    bool m_uses_even_shares = false;
    std::uint64_t m_sequence = 0;
    periodic_timer m_report_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
