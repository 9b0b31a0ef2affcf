#pragma once

#include "libs/base/randomsource.h"
#include "libs/peer/peercontrollink.h"
#include "plugins/storerelay/relayedwatch.h"
#include "plugins/storerelay/relayselector.h"
#include "plugins/storerelay/storecopy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// Path of polls between nodes.
inline constexpr std::string_view relay_path = "/mulberry/relay/poll";

struct relayed_store_settings {
    relay_selector_settings selector;
    /// Prefixes whose entries and changes are received from a relay, with the settings of their watches.
    std::map<std::string, relayed_watch_settings, std::less<>> prefixes;
};

/// The platform's store as one node of a fleet uses it: the entries and changes of some prefixes come from a relay in
/// the own failure domain, everything else goes to the store. Keeps a copy of what it has received, so that it can be a
/// relay itself.
class relayed_store final : public key_value_store, private relayed_watch_owner {
public:
    /// `members` returns the nodes that are known so far.
    relayed_store(relayed_store_settings settings, std::string own_name, node_location own_location,
                  key_value_store& direct, peer_caller& peers, const address_lookup& addresses, timer_service& timers,
                  random_source& random, std::function<std::span<const member>()> members);
    ~relayed_store() override;

    void get(std::string_view key, std::function<void(leaf::result<range_result>)> done) override;
    void range(std::string_view prefix, std::function<void(leaf::result<range_result>)> done) override;
    void put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                std::function<void(leaf::result<put_result>)> done) override;
    void remove_if(std::string_view key, std::int64_t expected_mod_revision,
                   std::function<void(leaf::result<put_result>)> done) override;
    void grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done) override;
    void keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done) override;
    watch_id watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change) override;
    void cancel_watch(watch_id id) override;
    std::optional<time_point> watch_confirmed_until(watch_id id) const override;

    /// The relay from which the changes come; empty if this node reads the store itself.
    const std::string& relay() const { return m_last_relay; }

    /// Returns the copy of a prefix, or null if there is none.
    const store_copy* copy_of(std::string_view prefix) const;
    /// The time up to which the copy of a prefix is known to be complete; empty if that is not known.
    std::optional<time_point> copy_confirmed_until(std::string_view prefix) const;
    /// Whether changes of a prefix are arriving from the store at present.
    bool copy_is_receiving(std::string_view prefix) const;
    /// Sets a callback that is called after a copy has changed.
    void on_copy_changed(std::function<void(std::string_view prefix)> callback);

private:
    struct followed_prefix {
        relayed_watch_settings settings;
        store_copy copy;
        std::optional<time_point> snapshot_confirmed_at;
        std::shared_ptr<relayed_watch> watch;
        watch_id id = 0;
    };
    using followed_map = std::map<std::string, followed_prefix, std::less<>>;

    std::optional<std::string> choose_relay() override;
    void on_relay_failed(std::string_view relay, relay_failure failure) override;
    void on_direct_read_failed() override;
    peer_call_id poll_relay(const std::string& relay, const relay_poll& poll, peer_callback done) override;
    void cancel_poll(peer_call_id id) override;
    key_value_store& direct_store() override { return m_direct; }

    using range_callback = std::function<void(leaf::result<range_result>)>;

    void range_directly(followed_map::iterator followed, range_callback done);
    void range_from_relay(followed_map::iterator followed, const std::string& relay, const range_callback& done);
    /// Returns the entries of a relay's response, or nothing if it has none.
    std::optional<range_result> entries_of(const followed_prefix& followed, const std::string& relay,
                                           leaf::result<message_body> result);
    void on_snapshot(followed_map::iterator followed, time_point request_time, const range_result& snapshot);
    void on_changes(followed_map::iterator followed, const std::vector<watch_event>& events);
    void end_watch(followed_map::iterator followed);
    void log_source(const std::string& relay);

    std::string m_own_name;
    key_value_store& m_direct;
    peer_caller& m_peers;
    const address_lookup& m_addresses;
    timer_service& m_timers;
    std::function<std::span<const member>()> m_members;
    relay_selector m_selector;
    followed_map m_followed;
    std::function<void(std::string_view)> m_on_copy_changed;
    // The relay that was chosen last; empty if this node reads the store itself.
    std::string m_last_relay;
    // Watches of other prefixes, by their id here, with their id at the store.
    std::map<watch_id, watch_id> m_direct_watches;
    watch_id m_last_watch_id = 0;
    // Destroyed with this object, which tells callbacks that the peers or the store still hold not to use it.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
