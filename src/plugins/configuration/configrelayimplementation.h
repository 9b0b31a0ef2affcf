#pragma once

#include "plugins/configuration/configrelay.h"

#include "plugins/configuration/messages.pb.h"
#include "plugins/configuration/relaytree.h"
#include "plugins/configuration/storewatch.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

namespace detail {

/// The age up to which a view counts as fresh. When a parent's view is older, the other parent is queried. A watcher
/// that had no response from the store for this long regards the store as unreachable.
inline constexpr duration max_fresh_age{std::chrono::milliseconds(1200)};

/// Upper bound of the revisions that are accepted in messages.
constexpr std::int64_t max_revision = std::int64_t{1} << 62;

constexpr bool revision_allowed(std::int64_t revision)
{
    return revision >= 0 && revision <= max_revision;
}

} // namespace detail

/// Implementation of the relay. configrelay.cpp contains the tree, the watch on the store and the confirmations;
/// relaypulls.cpp contains the pulls and the messages.
class config_relay::implementation final : public member_listener, public detail::store_watch_listener {
public:
    implementation(config_relay_settings settings, timer_service& timers, random_source& random, control_link& link,
                   key_value_store& store, member_directory& members, config_view& view);
    ~implementation() override;

    const detail::relay_tree& tree() const { return m_tree; }
    bool ready() const { return m_ready; }
    const view_age& age() const { return m_age; }
    void set_view_limit(duration limit) { m_age.set_limit(limit); }
    bool keyed_requests_allowed() const { return m_age.keyed_requests_allowed(held_revision()); }
    std::vector<domain_statement> statements();
    pending_confirmations unconfirmed(std::int64_t revision);
    void accept(config_document document);
    void receive(std::string_view from, std::string_view payload);

    void on_member_changed(const member& changed) override;
    void on_view_complete(time_point as_of) override;
    void on_store_responded() override;
    void on_store_failed() override;
    void on_documents_changed() override;

private:
    struct pending_pull {
        std::string target;
        time_point sent{};
        timer_id timer = 0;
        /// Whether this is the pull from the parent in use that opened a round. If it fails, the other parent is
        /// queried.
        bool is_round_pull = false;
    };

    // Relay tree.
    void rebuild_tree();
    void become_watcher();
    void stop_watching();

    // Pulls.
    void pull(const std::string& target, bool is_round_pull);
    void on_pull_timeout(std::uint64_t sequence);
    void begin_round();
    void schedule_round(duration delay);
    void pull_from_other_parent(const std::string& first);
    void pull_from_watchers();
    void pull_from_random_member();
    bool is_store_unreachable() const;

    // Messages.
    void send(std::string_view to, const configuration_messages::config_message& message);
    void handle_request(std::string_view from, const configuration_messages::pull_request& request);
    void add_documents(const configuration_messages::pull_request& request, configuration_messages::pull_reply& reply);
    void add_statements(std::string_view to, bool to_watcher, configuration_messages::pull_reply& reply);
    void handle_reply(std::string_view from, const configuration_messages::pull_reply& reply);
    bool apply_documents(const configuration_messages::pull_reply& reply);
    void record_statements(std::string_view from, const configuration_messages::pull_reply& reply, time_point sent);
    void handle_parent_reply(const pending_pull& finished_pull, const configuration_messages::pull_reply& reply);
    void handle_notice(std::string_view from, std::int64_t revision);
    void handle_confirmation(std::string_view from, std::int64_t revision);

    // Readiness, statements and confirmations.
    void record_source(std::string_view name, bool complete_and_ready);
    void update_readiness();
    void update_own_statement();
    void notify_children();
    void expedite_confirmation();
    void send_confirmation();
    std::int64_t confirmed_by_domain();
    std::int64_t held_revision() const { return std::max(m_view.newest_revision(), m_view.complete_revision()); }
    duration time_until_refresh() const;
    /// The other watcher of this node's domain; empty if there is none.
    std::string partner() const;

    const config_relay_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
    control_link& m_link;
    key_value_store& m_store;
    member_directory& m_members;
    config_view& m_view;
    detail::relay_tree m_tree;
    view_age m_age;
    std::unique_ptr<detail::store_watch> m_watch;

    /// Pulls without a reply so far, by sequence number.
    std::map<std::uint64_t, pending_pull> m_pulls;
    std::uint64_t m_last_sequence = 0;
    /// Toggled when the parent in use fails to respond or its view is too old.
    bool m_use_second_parent = false;
    std::uint64_t m_watcher_round = 0;
    time_point m_next_watcher_round{};
    time_point m_poll_confirmations_until{};
    time_point m_next_round{};
    /// Nodes that pulled from this node, with the time of their last pull.
    std::map<std::string, time_point, std::less<>> m_children;

    bool m_ready = false;
    bool m_store_responded = false;
    bool m_store_failed = false;
    bool m_ready_source_responded = false;
    /// Sources that have replied to a pull or let it time out.
    std::set<std::string, std::less<>> m_queried_sources;

    /// When the store last responded to this node, which is a watcher, and to its partner.
    std::optional<time_point> m_store_reached_at;
    std::optional<time_point> m_partner_reached_at;
    /// Send time of the newest pull that the partner replied to.
    std::optional<time_point> m_partner_responded_at;
    /// Highest revision that each node has confirmed to this watcher.
    std::map<std::string, std::int64_t, std::less<>> m_confirmed_revisions;
    std::int64_t m_domain_confirmed_revision = 0;
    time_point m_domain_confirmed_at{};

    timer_id m_rebuild_timer = 0;
    timer_id m_round_timer = 0;
    timer_id m_watchers_timer = 0;
    timer_id m_confirmation_timer = 0;
    bool m_confirmation_is_expedited = false;
    periodic_timer m_anti_entropy;
};

} // namespace mulberry
