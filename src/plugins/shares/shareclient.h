#pragma once

#include "libs/base/periodictimer.h"
#include "libs/base/randomsource.h"
#include "libs/base/refusal.h"
#include "plugins/shares/demandestimate.h"
#include "plugins/shares/messages.pb.h"
#include "plugins/shares/sharekeeper.h"
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

/// What a client asks of the node around it.
class client_owner {
public:
    client_owner() = default;
    client_owner(const client_owner&) = delete;
    client_owner& operator=(const client_owner&) = delete;
    virtual ~client_owner() = default;

    virtual void send(std::string_view to, const messages::envelope& message) = 0;
    /// The own domain's keeper has named those of the other domains.
    virtual void on_keepers_listed(const messages::grant& grant) = 0;
};

/// A node's grants in one group of organisations. All holdings belong to one session with one keeper and end together
/// with its lease, which counts from when the node sent the report that the keeper answered.
class share_client {
public:
    using admit_callback = std::function<void(std::optional<refusal>)>;

    /// A foreign client borrows from the keeper of another failure domain: it reports no load and keeps nothing.
    share_client(const share_settings& settings, std::uint32_t group, timer_service& timers, random_source& random,
                 client_owner& owner, bool foreign);
    ~share_client();
    share_client(const share_client&) = delete;
    share_client& operator=(const share_client&) = delete;

    void set_limits(std::string_view organisation, figure limits);
    void remove_limits(std::string_view organisation);
    /// Takes a token that is there.
    bool try_admit(std::string_view organisation);
    /// Asks for a token and waits for it up to the time given. Follows a try_admit that found none.
    void wait(std::string_view organisation, duration longest, admit_callback done);
    /// Whether the keeper may have a token: it is known and did not deny one just now.
    bool can_ask(std::string_view organisation) const;
    /// Whether the keeper said, at its last denial, that other domains may have tokens.
    bool may_borrow(std::string_view organisation) const;
    /// Shortest time to an answer of the keeper; zero before the first.
    duration round_trip() const { return m_round_trip; }

    /// Hands the holdings over to the keeper of a higher epoch. An empty name leaves the client without a keeper.
    void set_keeper(const std::string& name, std::uint64_t epoch);
    /// Takes over what this node held as a keeper; it is handed on to the successor and used until the end.
    void take_over(const share_map& remaining, time_point end);
    void on_grant(std::string_view from, const messages::grant& grant);

    /// Refuses new requests and returns everything; the callback comes when the keeper has it.
    void drain(std::function<void()> done);

    const std::string& keeper() const { return m_keeper; }
    std::uint64_t epoch() const { return m_epoch; }
    /// When the keeper last answered, or when it was named.
    time_point heard() const { return m_heard; }
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
        time_point asked_until{};
        time_point denied_until{};
        time_point ahead_after{};
        bool may_borrow = false;
        /// Something was returned that the keeper has not been told of.
        bool unreported = false;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    struct request {
        time_point sent_at{};
        bool periodic = false;
    };

    using organisation_map = std::map<std::string, organisation, std::less<>>;

    bool lease_valid() const { return m_leased && m_timers.now() < m_lease_end; }
    void expire();
    void drop_holdings();
    void start_session();
    void limit_lease(time_point end);
    void extend_lease(time_point end);

    void serve(organisation_map::value_type& entry);
    bool is_hopeless(const organisation& state) const;
    void arm(organisation_map::value_type& entry);
    void refuse(organisation& state, const admit_callback& done);
    duration retry_after(const organisation& state);

    void ask_ahead(organisation_map::value_type& entry);
    void ask(organisation_map::value_type& entry, duration gap);
    messages::report& start_report(messages::envelope& message);
    std::uint64_t number_request(messages::report& report, bool periodic);
    void add_line(messages::report& report, organisation_map::value_type& entry);
    std::uint64_t report_all();
    void schedule_returns();
    void report_returns();

    bool apply_line(organisation& state, const messages::grant_line& line);
    void trim(organisation& state, bool idle);
    void return_share(organisation& state, const share& excess);
    void drain_step();
    bool holds_anything() const;
    void report_if_due();

    const share_settings& m_settings;
    std::uint32_t m_group;
    timer_service& m_timers;
    random_source& m_random;
    client_owner& m_owner;
    organisation_map m_organisations;
    std::string m_keeper;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_session = 1;
    /// The keeper has not answered in this session yet.
    bool m_opening = true;
    /// Answers to requests up to this one count for nothing, because the keeper had not taken everything over.
    std::uint64_t m_adopted_request = 0;
    /// Whether there is a lease; what it covers is dropped when it ends.
    bool m_leased = false;
    time_point m_lease_end{};
    time_point m_heard{};
    std::uint64_t m_last_request = 0;
    std::map<std::uint64_t, request> m_requests;
    timer_id m_returns_timer = 0;
    bool m_foreign;
    duration m_round_trip{0};
    /// An answer to this full report or a later one shows that the keeper knows of all returns; 0 if it does.
    std::uint64_t m_return_request = 0;
    bool m_draining = false;
    std::function<void()> m_drained;
    /// An answer to this request or a later one shows that the keeper has everything.
    std::uint64_t m_drain_request = 0;
    timer_id m_drain_timer = 0;
    periodic_timer m_reports;
};

} // namespace mulberry::shares
