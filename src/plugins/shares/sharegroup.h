#pragma once

#include "libs/base/controllink.h"
#include "plugins/shares/shareclient.h"
#include "plugins/shares/sharekeeper.h"

#include <memory>

namespace mulberry::shares {

/// One group of organisations at a node: the client, and the keeper if the pool document names this node.
class share_group final : public keeper_owner, public client_owner {
public:
    share_group(const share_settings& settings, std::uint32_t number, timer_service& timers, random_source& random,
                control_link& link, key_value_store& store);
    ~share_group() override;

    void admit(std::string_view organisation, share_client::admit_callback done);
    void set_limits(std::string_view organisation, figure limits);
    void remove_limits(std::string_view organisation);
    void on_member_dead(std::string_view name);
    void on_message(std::string_view from, const messages::envelope& message);
    void count_rejected() { ++m_rejected; }
    void drain(std::function<void()> done);
    void add_status(share_status& status) const;

    void send(std::string_view to, const messages::envelope& message) override;
    void on_keepers_listed(const messages::grant& grant) override;
    void on_keeper_named(const std::string& name, std::uint64_t epoch) override;
    void on_role_lost(const share_map& remaining, time_point end) override;
    void on_resigned() override;

private:
    /// A request that found no token in its own failure domain.
    struct borrower {
        std::string organisation;
        share_client::admit_callback done;
        refusal refused;
        time_point deadline{};
        /// Domains that have denied.
        std::vector<std::string> asked;
    };

    void wait_for_grant(std::string organisation, duration longest, share_client::admit_callback done);
    bool keeper_is_changing() const;
    bool take_borrowed(std::string_view organisation);
    void borrow(borrower request);
    share_client& client_of(std::string_view keeper);
    share_client& foreign_client(const std::string& domain);
    void replace_later(std::uint64_t epoch, duration longest_delay);
    void watch_keeper();
    void on_keeper_change(const messages::keeper_change& change);
    void schedule(duration delay, std::function<void()> callback);
    void finish_drain();

    const share_settings& m_settings;
    timer_service& m_timers;
    random_source& m_random;
    control_link& m_link;
    /// Timers hold a weak reference and do nothing once the group is gone.
    std::shared_ptr<bool> m_alive;
    std::uint32_t m_number;
    std::map<std::string, figure, std::less<>> m_limits;
    share_client m_client;
    /// Clients of the other domains' keepers, by domain.
    std::map<std::string, std::unique_ptr<share_client>> m_foreign;
    share_keeper m_keeper;
    periodic_timer m_watch;
    time_point m_next_attempt{};
    time_point m_vacant_since{};
    /// Requests refused by the own domain and admitted with a borrowed token.
    std::map<std::string, std::uint64_t, std::less<>> m_rescued;
    bool m_replacing = false;
    bool m_stopping = false;
    std::function<void()> m_drained;
    std::uint64_t m_sent = 0;
    std::uint64_t m_rejected = 0;
};

} // namespace mulberry::shares
