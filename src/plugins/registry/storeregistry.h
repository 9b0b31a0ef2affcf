#pragma once

#include "libs/base/periodictimer.h"
#include "libs/base/retrytimer.h"
#include "libs/store/storefollower.h"
#include "plugins/membership/memberdirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

struct registry_settings {
    /// Common prefix of all keys of this system in the store.
    std::string prefix = "mulberry/";
    /// Time to live of the own entry's lease. The lease is renewed each time a third of it has passed.
    duration lease{std::chrono::seconds(6)};
    /// Time for which a node is still used after its entry has expired. After an outage of the store, running nodes
    /// publish their entries again within this time.
    duration absence_grace{std::chrono::milliseconds(2500)};
};

/// Finds the other nodes through the store: each node publishes an entry with a lease and watches the entries of all
/// others. During an outage of the store, the last known nodes remain listed.
class store_registry final : public member_directory, private store_follower_listener {
public:
    store_registry(registry_settings settings, member self, timer_service& timers, random_source& random,
                   random_source& secure_random, key_value_store& store);
    ~store_registry() override;

    void start();

    /// Publishes service and state of the own node and the upstream beside it. The name, address and location of the
    /// node don't change.
    void set_own_record(const member& state);
    /// Sets a callback that is called once with the entry of an earlier run with this name, if the store still has it.
    void on_earlier_run(std::function<void(const member&)> callback) { m_on_earlier_run = std::move(callback); }
    /// Publishes the state dead, so that the other nodes remove this node at once. Afterwards no new lease is
    /// requested.
    void leave();

    /// True once the entries of the nodes have been read from the store.
    bool has_joined() const { return m_has_joined; }
    /// The secret shared by all nodes, which the first node creates; empty until it has been read from the store.
    const std::string& fleet_secret() const { return m_secret; }
    /// Sets a callback that is called when the secret has been read or created, or has changed.
    void on_secret(std::function<void(const std::string&)> callback) { m_on_secret = std::move(callback); }

    std::span<const member> members() const override { return m_members; }
    std::span<const member> members_of(std::string_view service) const override;
    const member* find(std::string_view name) const override;
    void add_listener(member_listener& listener) override;
    void remove_listener(member_listener& listener) override;

private:
    struct known_node {
        member node;
        /// Revision of the last change of the entry. Older changes are ignored: after a change of the source of the
        /// entries, an outdated copy would bring back a node that has left.
        std::int64_t revision = 0;
        /// Time since which the entry has been absent from the store; empty while it is present.
        std::optional<time_point> absent_since;
    };

    void on_snapshot(std::span<const store_entry> entries, std::int64_t revision) override;
    void on_changes(std::span<const watch_event> events) override;

    /// The store has gone back to an older copy: the lease and the own entry may be gone.
    void on_store_restored(std::int64_t revision);
    void apply(const store_entry& entry);
    /// Writes the own entry again if another writer or an earlier run has written it.
    void apply_own(const store_entry& entry, const std::optional<member>& decoded);
    void mark_absent(std::string_view name, std::int64_t revision);
    void remove_absent_nodes();
    void forget_dead_nodes();
    void rebuild_members();
    void notify(const member& changed);
    void create_secret();
    void set_secret(const std::string& value);

    void renew_lease();
    void on_renewal_failed(store_error error);
    void request_lease();
    void publish();
    void on_published(leaf::result<put_result> result);
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
    std::function<void(const std::string&)> m_on_secret;
    std::function<void(const member&)> m_on_earlier_run;
    std::string m_secret;
    lease_id m_lease = 0;
    std::int64_t m_own_revision = 0;
    // Revision of the last snapshot.
    std::int64_t m_snapshot_revision = 0;
    bool m_has_joined = false;
    bool m_has_left = false;
    bool m_is_publishing = false;
    bool m_publish_again = false;
    bool m_is_requesting_lease = false;
    bool m_is_renewing_lease = false;
    retry_timer m_lease_retry;
    retry_timer m_publish_retry;
    std::unique_ptr<periodic_timer> m_renewal_timer;
    std::unique_ptr<periodic_timer> m_absence_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
