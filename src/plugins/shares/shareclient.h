#pragma once

#include "libs/base/periodictimer.h"
#include "libs/base/randomsource.h"
#include "libs/base/refusal.h"
#include "plugins/shares/demandestimate.h"
#include "plugins/shares/messages.pb.h"
#include "plugins/shares/sharecoordinator.h"
#include "plugins/shares/sharesettings.h"
#include "plugins/shares/sharestatus.h"
#include "plugins/shares/tokenbucket.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::shares {

/// Interface of a share client to its node.
class client_owner {
public:
    client_owner() = default;
    client_owner(const client_owner&) = delete;
    client_owner& operator=(const client_owner&) = delete;
    virtual ~client_owner() = default;

    virtual void send(std::string_view to, const messages::envelope& message) = 0;
    /// The coordinator of the node's own domain has listed the coordinators of the other domains.
    virtual void on_coordinators_listed(const messages::grant& grant) = 0;
};

/// A node's grants in one group of organisations. All holdings belong to one session with one coordinator and expire
/// with its lease. The lease is counted from the time when the node sent the report to which the coordinator responded.
class share_client {
public:
    using admit_callback = std::function<void(std::optional<refusal>)>;

    /// A remote client leases tokens from the coordinator of another failure domain: it reports no load and returns
    /// every share once it is used.
    share_client(const share_settings& settings, std::uint32_t group, timer_service& timers, random_source& random,
                 client_owner& owner, bool remote);
    ~share_client();
    share_client(const share_client&) = delete;
    share_client& operator=(const share_client&) = delete;

    void set_limits(std::string_view organisation, rate_limit limits);
    void remove_limits(std::string_view organisation);
    /// Takes a token if one is available.
    bool try_admit(std::string_view organisation);
    /// Requests a token and waits for it for at most max_wait. To be called after try_admit has found no token.
    void wait_for_token(std::string_view organisation, duration max_wait, admit_callback done);
    /// Whether it makes sense to request a token: a coordinator is known and its last denial no longer applies.
    bool can_request(std::string_view organisation) const;
    /// Whether the coordinator's last denial reported that other domains may have tokens.
    bool may_borrow(std::string_view organisation) const;
    /// Shortest response time of the coordinator so far; zero before the first response.
    duration round_trip() const { return m_round_trip; }

    /// Transfers the holdings to the coordinator of a higher epoch. An empty name leaves the client without a
    /// coordinator.
    void set_coordinator(const std::string& name, std::uint64_t epoch);
    /// Adopts the shares that this node had not granted as coordinator. They may be used until the end and are reported
    /// to the successor.
    void take_over(const share_map& remaining, time_point end);
    void on_grant(std::string_view from, const messages::grant& grant);

    /// Refuses new requests and returns all shares; the callback is called when the coordinator has received them.
    void drain(std::function<void()> done);

    const std::string& coordinator() const { return m_coordinator; }
    std::uint64_t epoch() const { return m_epoch; }
    /// Time of the coordinator's last response, or of its appointment if it has not responded since.
    time_point last_contact() const { return m_last_contact; }
    std::vector<organisation_status> status() const;

private:
    struct waiter {
        time_point deadline{};
        admit_callback done;
    };

    struct organisation {
        token_bucket bucket;
        /// Totals of the session.
        share adopted;
        share granted;
        share returned;
        demand_estimate demand;
        micro_tokens reported_demand = 0;
        share target;
        std::deque<waiter> waiters;
        timer_id wake_up = 0;
        time_point request_pending_until{};
        time_point denied_until{};
        time_point next_prefetch{};
        bool may_borrow = false;
        /// A share was returned that no report to the coordinator contains yet.
        bool has_unreported_returns = false;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    struct sent_request {
        time_point sent_at{};
        bool periodic = false;
    };

    using organisation_map = std::map<std::string, organisation, std::less<>>;

    bool is_lease_valid() const { return m_has_lease && m_timers.now() < m_lease_end; }
    void check_lease_expiry();
    void drop_holdings();
    void start_session();
    void limit_lease(time_point end);
    void extend_lease(time_point end);

    void serve_waiters(organisation_map::value_type& entry);
    bool cannot_be_served(const organisation& state) const;
    void schedule_wake_up(organisation_map::value_type& entry);
    void refuse(organisation& state, const admit_callback& done);
    duration retry_after(const organisation& state);

    void prefetch_tokens(organisation_map::value_type& entry);
    void request_tokens(organisation_map::value_type& entry, duration gap);
    messages::report& start_report(messages::envelope& message);
    std::uint64_t assign_request_number(messages::report& report, bool periodic);
    void add_report_line(messages::report& report, organisation_map::value_type& entry);
    std::uint64_t report_all();
    void schedule_returns();
    void report_returns();

    bool apply_grant_line(organisation& state, const messages::grant_line& line);
    void return_excess(organisation& state, bool include_idle);
    void return_share(organisation& state, const share& excess);
    void retry_drain();
    bool has_holdings() const;
    void report_if_due();

    const share_settings& m_settings;
    std::uint32_t m_group;
    timer_service& m_timers;
    random_source& m_random;
    client_owner& m_owner;
    organisation_map m_organisations;
    std::string m_coordinator;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_session = 1;
    /// The coordinator has not responded in this session yet.
    bool m_opening = true;
    /// Responses to requests up to this number are ignored, because the coordinator had not adopted all holdings by
    /// then.
    std::uint64_t m_last_ignored_request = 0;
    /// Whether the client has a lease. The shares covered by it are dropped when it expires.
    bool m_has_lease = false;
    time_point m_lease_end{};
    time_point m_last_contact{};
    std::uint64_t m_last_request = 0;
    std::map<std::uint64_t, sent_request> m_sent_requests;
    timer_id m_returns_timer = 0;
    bool m_remote;
    duration m_round_trip{0};
    /// A response to this full report or a later one confirms that the coordinator has received all returns; 0 if no
    /// return is unconfirmed.
    std::uint64_t m_return_request = 0;
    bool m_draining = false;
    std::function<void()> m_on_drained;
    /// A response to this request or a later one confirms that the coordinator has received everything.
    std::uint64_t m_drain_request = 0;
    timer_id m_drain_timer = 0;
    periodic_timer m_report_timer;
};

} // namespace mulberry::shares
