#pragma once

#include "libs/base/controllink.h"
#include "libs/base/periodictimer.h"
#include "plugins/entry/ratelimiter.h"
#include "plugins/membership/memberdirectory.h"
#include "plugins/quota/localquota.h"
#include "plugins/quota/quotacoordinator.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberry {

/// Enforces the rate limits of organisations over all nodes. The node with the lowest name is the coordinator, which
/// grants all tokens. Every node requests tokens in advance of its demand, and requests without a token wait briefly
/// for more. A node that gets no response from the coordinator uses its even share of each rate: it first borrows
/// tokens of the share, which it pays back from late grants, and uses them freely once the coordinator withholds the
/// share.
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
    /// Adds an organisation to a report to the coordinator that was determined last, with the level that an earlier one
    /// has left.
    void add_to_report(quota_report& report, const std::string& organisation, organisation_quota& quota,
                       std::uint32_t token_count);
    void send_report();
    void request_tokens(const std::string& organisation, organisation_quota& quota);
    /// Sends a report to the coordinator that was determined last; update_coordinator() must be called before.
    void send(quota_report message);
    void on_grant(const std::string& from, const quota_grant& grant);
    /// Admits requests that wait as far as there are tokens.
    void admit_waiters(organisation_quota& quota);
    /// Requests further tokens for the requests that a grant did not cover, or refuses them if the coordinator has
    /// none.
    void request_or_refuse(const std::string& organisation, organisation_quota& quota);
    /// Runs a step for the requests of the organisation that are waiting now and still wait after the delay.
    using waiter_step = void (quota_service::*)(organisation_quota& quota, time_point waiting_since);
    void schedule_waiter_step(const std::string& organisation, duration delay, waiter_step step);
    /// Admits requests that have waited since this time or longer with tokens of the even share.
    void admit_from_even_share(organisation_quota& quota, time_point waiting_since);
    /// Refuses requests that have waited since this time or longer.
    void refuse_waiters(organisation_quota& quota, time_point waiting_since);
    /// Removes the answered report. Returns false if it is older than the lifetime of tokens, or unknown.
    bool take_answered_report(std::uint64_t sequence);
    void on_answered(std::uint64_t sequence);
    /// Time since the oldest report without an answer was sent; 0 if all have one.
    duration unanswered_for() const;
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
    /// Times at which the reports without an answer were sent, by sequence. Older ones than the lifetime of tokens are
    /// removed.
    std::map<std::uint64_t, time_point> m_unanswered_reports;
    std::optional<time_point> m_unanswered_since;
    bool m_uses_even_shares = false;
    std::uint64_t m_sequence = 0;
    periodic_timer m_report_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
