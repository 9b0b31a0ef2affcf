#pragma once

#include "libs/base/periodictimer.h"
#include "libs/store/storefollower.h"
#include "plugins/membership/memberdirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

struct registry_settings {
    /// Keys of this system in the store start with this.
    std::string prefix = "mulberry/";
    /// Lease of the own entry; it is renewed at a third of this.
    duration lease{std::chrono::seconds(6)};
    /// How long a node whose entry has lapsed is still used. The entries of nodes that live are back within this time
    /// after an outage of the store.
    duration absence_grace{std::chrono::milliseconds(2500)};
};

/// Finds the other nodes through the store: each node keeps an entry under a lease and follows those of all others. In
/// an outage of the store the last known nodes stay.
class store_registry final : public member_directory, private store_follower_listener {
public:
    store_registry(registry_settings settings, member self, timer_service& timers, random_source& random,
                   random_source& secure_random, key_value_store& store);
    ~store_registry() override;

    void start();

    /// Publishes what the own node and the upstream beside it do. Name, address and location of the node stay.
    void set_own(const member& state);
    /// Called once with the entry of an earlier run at this name, if the store still has it.
    void on_earlier_run(std::function<void(const member&)> callback) { m_earlier_run = std::move(callback); }
    /// Ends the own lease, so that the others drop the node at once.
    void leave();

    /// True once the nodes have been read from the store.
    bool joined() const { return m_joined; }
    /// The secret that the nodes share; empty until it has been read. The first node creates it.
    const std::string& fleet_secret() const { return m_secret; }
    /// Called when the secret becomes known.
    void on_secret(std::function<void(const std::string&)> callback) { m_secret_known = std::move(callback); }

    std::span<const member> members() const override { return m_members; }
    std::span<const member> members_of(std::string_view service) const override;
    const member* find(std::string_view name) const override;
    void add_listener(member_listener& listener) override;
    void remove_listener(member_listener& listener) override;

private:
    struct known_node {
        member node;
        /// Since when the entry has been absent from the store.
        std::optional<time_point> absent_since;
    };

    void on_snapshot(std::span<const store_entry> entries) override;
    void on_changes(std::span<const watch_event> events) override;

    void apply(const store_entry& entry);
    void mark_absent(std::string_view name);
    void drop_absent();
    void rebuild();
    void notify(const member& changed);
    void create_secret();
    void take_secret(const std::string& value);

    void renew();
    void grant();
    void publish();
    void on_published(leaf::result<put_result> result);
    void publish_later();
    std::string own_key() const { return m_settings.prefix + "members/" + m_self.id.name; }

    registry_settings m_settings;
    member m_self;
    timer_service& m_timers;
    random_source& m_secure_random;
    key_value_store& m_store;
    store_follower m_follower;
    std::map<std::string, known_node, std::less<>> m_nodes;
    std::vector<member> m_members;
    std::vector<member_listener*> m_listeners;
    std::function<void(const std::string&)> m_secret_known;
    std::function<void(const member&)> m_earlier_run;
    std::string m_secret;
    lease_id m_lease = 0;
    std::int64_t m_own_revision = 0;
    bool m_joined = false;
    bool m_left = false;
    bool m_publishing = false;
    bool m_publish_again = false;
    bool m_granting = false;
    std::unique_ptr<periodic_timer> m_renewal;
    std::unique_ptr<periodic_timer> m_sweep;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
