#pragma once

#include "libs/base/controllink.h"
#include "plugins/shares/shareclient.h"
#include "plugins/shares/sharecoordinator.h"

#include <memory>

namespace mulberry::shares {

/// One group of organisations at a node: the client, and the coordinator if the pool document names this node.
class share_group final : public coordinator_owner, public client_owner {
public:
    share_group(const share_settings& settings, std::uint32_t number, timer_service& timers, random_source& random,
                control_link& link, key_value_store& store);
    ~share_group() override;

    void admit(std::string_view organisation, share_client::admit_callback done);
    void set_limits(std::string_view organisation, rate_limit limits);
    void remove_limits(std::string_view organisation);
    void on_member_dead(std::string_view name);
    void on_message(std::string_view from, const messages::envelope& message);
    void count_rejected() { ++m_messages_rejected; }
    void drain(std::function<void()> done);
    void add_status(share_status& status) const;

    void send(std::string_view to, const messages::envelope& message) override;
    void on_coordinators_listed(const messages::grant& grant) override;
    void on_coordinator_named(const std::string& name, std::uint64_t epoch) override;
    void on_role_lost(const share_map& remaining, time_point end) override;
    void on_resigned() override;

private:
    /// A request that got no token in its own failure domain.
    struct remote_request {
        std::string organisation;
        share_client::admit_callback done;
        refusal refused;
        time_point deadline{};
        /// Domains from which a token was requested already.
        std::vector<std::string> tried_domains;
    };

    void wait_for_grant(std::string organisation, duration max_wait, share_client::admit_callback done);
    bool is_coordinator_changing() const;
    bool try_remote_admit(std::string_view organisation);
    void request_remote_grant(remote_request request);
    share_client& client_for_coordinator(std::string_view coordinator);
    share_client& remote_client(const std::string& domain);
    void schedule_replacement(std::uint64_t epoch, duration max_delay);
    void check_coordinator();
    void on_coordinator_change(const messages::keeper_change& change);
    void schedule(duration delay, std::function<void()> callback);
    void finish_drain();

    const share_settings& m_settings;
    timer_service& m_timers;
    random_source& m_random;
    control_link& m_link;
    /// Timers have a weak reference and do nothing once the group is destroyed.
    std::shared_ptr<bool> m_alive;
    std::uint32_t m_number;
    std::map<std::string, rate_limit, std::less<>> m_limits;
    share_client m_client;
    /// Clients of the other domains' coordinators, by domain.
    std::map<std::string, std::unique_ptr<share_client>> m_remote_clients;
    share_coordinator m_coordinator;
    periodic_timer m_check_timer;
    time_point m_next_replacement{};
    time_point m_vacant_since{};
    /// Number of requests per organisation that the node's own domain refused and a token of another domain admitted.
    std::map<std::string, std::uint64_t, std::less<>> m_remote_admissions;
    bool m_replacement_scheduled = false;
    bool m_stopping = false;
    std::function<void()> m_on_drained;
    std::uint64_t m_messages_sent = 0;
    std::uint64_t m_messages_rejected = 0;
};

} // namespace mulberry::shares
