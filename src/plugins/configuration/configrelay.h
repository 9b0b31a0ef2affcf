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
    /// How long a pull waits for the reply before the other parent is queried.
    duration pull_timeout{std::chrono::milliseconds(300)};
    /// Limit on the total size of the documents in one reply. A single document above the limit is sent in a reply of
    /// its own.
    std::size_t max_reply_bytes = 262'144;
};

/// The nodes and failure domains that have not confirmed a revision. A watcher lists the nodes of its own domain.
struct pending_confirmations {
    std::vector<std::string> nodes;
    std::vector<std::string> domains;
};

/// Keeps the configuration view of this node up to date. Two watchers per failure domain watch the store; every other
/// node pulls changes from one of its two parents. Attach the relay to control_channel::configuration.
class config_relay final : public control_handler {
public:
    config_relay(config_relay_settings settings, timer_service& timers, random_source& random, control_link& link,
                 key_value_store& store, member_directory& members, config_view& view);
    ~config_relay() override;

    /// Whether this node is one of the two watchers of its domain.
    bool is_watcher() const;
    /// The watchers of a domain according to the members that this node knows; at most two.
    std::vector<std::string> watchers(std::string_view domain) const;
    /// The nodes that this node pulls from, the preferred parent first.
    std::vector<std::string> parents() const;

    /// Whether the view has once held the newest revision that this node can learn from its sources. Stays true from
    /// then on.
    bool ready() const;
    /// Age of the view; empty if the view has never been complete.
    std::optional<duration> age() const;
    /// Whether requests with an API key may run on this view; see view_age::keyed_requests_allowed.
    bool keyed_requests_allowed() const;
    /// Sets the maximum age of the view, which is configured in the organisations document.
    void set_view_limit(duration limit);
    /// The most recent statement of every failure domain that has sent one.
    std::vector<domain_statement> statements() const;

    /// The nodes and domains that have not confirmed the revision. A watcher lists every such node of its domain; any
    /// other node can list only itself and the domains.
    pending_confirmations unconfirmed(std::int64_t revision) const;

    /// Applies a document that config_writer has written to the store, and notifies the children.
    void accept(config_document document);
    /// Records that the store has just returned a definite response.
    void record_store_response();

    void on_message(std::string_view from, std::string_view payload) override;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
