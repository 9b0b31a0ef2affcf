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

/// A parent whose view is older is not good enough; the other one is asked.
inline constexpr duration good_age{std::chrono::milliseconds(1200)};

constexpr std::int64_t max_revision = std::int64_t{1} << 62;

constexpr bool revision_allowed(std::int64_t revision)
{
    return revision >= 0 && revision <= max_revision;
}

} // namespace detail

/// The work of a relay: the tree, the store's watch and the confirmations in configrelay.cpp, pulls and messages in
/// relaypulls.cpp.
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
    unconfirmed_parts unconfirmed(std::int64_t revision);
    void accept(config_document document);
    void receive(std::string_view from, std::string_view payload);

    void on_member_changed(const member& changed) override;
    void on_fresh(time_point as_of) override;
    void on_store_reached() override;
    void on_store_failed() override;
    void on_documents_changed() override;

private:
    struct pending_pull {
        std::string target;
        time_point sent{};
        timer_id timer = 0;
        /// The pull is the one of this round to a parent.
        bool of_round = false;
    };

    // The tree.
    void rebuild_tree();
    void become_watcher();
    void stop_watching();

    // Pulls.
    void pull(const std::string& target, bool of_round);
    void on_pull_timeout(std::uint64_t sequence);
    void begin_round();
    void schedule_round(duration delay);
    void ask_other_parent(const std::string& first);
    void ask_watchers();
    void ask_anyone();
    bool store_is_missing() const;

    // Messages.
    void send(std::string_view to, const configuration_messages::config_message& message);
    void handle_request(std::string_view from, const configuration_messages::pull_request& request);
    void add_documents(const configuration_messages::pull_request& request, configuration_messages::pull_reply& reply);
    void add_statements(std::string_view to, bool to_watcher, configuration_messages::pull_reply& reply);
    void handle_reply(std::string_view from, const configuration_messages::pull_reply& reply);
    bool apply_documents(const configuration_messages::pull_reply& reply);
    void hear_statements(std::string_view from, const configuration_messages::pull_reply& reply, time_point sent);
    void after_round_reply(const pending_pull& ended, const configuration_messages::pull_reply& reply);
    void handle_notice(std::string_view from, std::int64_t revision);
    void handle_confirmation(std::string_view from, std::int64_t revision);

    // State of the fleet.
    void note_source(std::string_view name, bool complete_and_ready);
    void decide_ready();
    void hear_own_domain();
    void tell_children();
    void confirm_soon();
    void confirm();
    std::int64_t confirmed_by_domain();
    std::int64_t held_revision() const { return std::max(m_view.newest_revision(), m_view.complete_revision()); }
    duration until_refresh() const;
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

    std::map<std::uint64_t, pending_pull> m_pulls;
    std::uint64_t m_last_sequence = 0;
    /// Swapped when the preferred parent does not answer.
    bool m_use_second_parent = false;
    std::uint64_t m_watcher_round = 0;
    time_point m_next_watcher_round{};
    time_point m_confirming_until{};
    time_point m_next_round{};
    std::map<std::string, time_point, std::less<>> m_children;

    bool m_ready = false;
    bool m_store_answered = false;
    bool m_store_failed_once = false;
    bool m_heard_ready_source = false;
    std::set<std::string, std::less<>> m_asked_sources;

    /// When this node, as a watcher, last got an answer from the store, and what its partner says of itself.
    std::optional<time_point> m_store_reached_at;
    std::optional<time_point> m_partner_reached_at;
    std::optional<time_point> m_partner_heard_at;
    std::map<std::string, std::int64_t, std::less<>> m_confirmed;
    std::int64_t m_domain_confirmed = 0;
    time_point m_domain_confirmed_at{};

    timer_id m_rebuild_timer = 0;
    timer_id m_round_timer = 0;
    timer_id m_watchers_timer = 0;
    timer_id m_confirmation_timer = 0;
    bool m_confirmation_is_soon = false;
    periodic_timer m_anti_entropy;
};

} // namespace mulberry
