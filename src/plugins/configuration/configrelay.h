#pragma once

#include "libs/base/controllink.h"
#include "libs/base/periodictimer.h"
#include "libs/base/randomsource.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/configuration/configview.h"
#include "plugins/configuration/viewage.h"
#include "plugins/membership/memberdirectory.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace mulberry {

struct config_relay_settings {
    std::string node;
    std::string domain;
    /// Every failure domain of the deployment.
    std::vector<std::string> domains;
    duration pull_period{std::chrono::seconds(1)};
    /// Time for an answer before the other parent is asked.
    duration pull_timeout{std::chrono::milliseconds(300)};
    /// Payload of one reply; a single larger document goes alone.
    std::size_t max_reply_bytes = 262'144;
};

/// Which part of the fleet has not confirmed a revision. Nodes are named for the own domain of a watcher.
struct unconfirmed_parts {
    std::vector<std::string> nodes;
    std::vector<std::string> domains;
};

/// Keeps the view of this node up to date: two watchers per failure domain watch the store, the others pull from two
/// parents each. Attach it to control_channel::configuration.
class config_relay final : public control_handler {
public:
    config_relay(config_relay_settings settings, timer_service& timers, random_source& random, control_link& link,
                 key_value_store& store, member_directory& members, config_view& view);
    ~config_relay() override;

    /// Whether this node is one of the two watchers of its domain.
    bool is_watcher() const;
    /// The watchers of a domain as this node knows them, at most two.
    std::vector<std::string> watchers(std::string_view domain) const;
    /// The nodes that this node pulls from, the preferred one first.
    std::vector<std::string> parents() const;

    /// True once the view holds the newest revision that this node can hear of. It stays true.
    bool ready() const;
    std::optional<duration> age() const;
    bool keyed_requests_allowed() const;
    /// Sets the limit on the view's age from the organisations document.
    void set_view_limit(duration limit);
    std::vector<domain_statement> statements() const;

    /// What has not confirmed the revision. Complete on a watcher; elsewhere only domains are known.
    unconfirmed_parts unconfirmed(std::int64_t revision) const;

    /// A document that config_writer wrote to the store: applies it and tells the children.
    void accept(config_document document);
    /// The store has just given a definite answer.
    void store_reached();

    void on_message(std::string_view from, std::string_view payload) override;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
