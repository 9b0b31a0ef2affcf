#pragma once

#include "libs/base/controllink.h"
#include "libs/base/randomsource.h"
#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/shares/sharesettings.h"
#include "plugins/shares/sharestatus.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace mulberry::shares {

class share_group;

/// Enforces the rate and burst of organisations across all nodes together. Attach it to control_channel::shares. All
/// calls and callbacks run on the thread of the timer service.
class share_service final : public control_handler {
public:
    /// Starts immediately: finds its coordinator through the store, or takes the role itself.
    share_service(share_settings settings, timer_service& timers, random_source& random, control_link& link,
                  key_value_store& store);
    ~share_service() override;

    /// Sets an organisation's rate limit from the configuration, in requests per second and requests. It takes effect
    /// at this node immediately; see docs/design.md, section shares. A rate of zero refuses every request.
    void set_limits(std::string_view organisation, double rate, std::int64_t burst);
    /// Removes an organisation that is no longer in the configuration.
    void remove_limits(std::string_view organisation);

    /// Requests a token. The callback receives nothing if the request may run, otherwise a refusal `rate_exceeded` with
    /// a Retry-After. It is called before admit returns if a token is available, otherwise within grant_wait. Requests
    /// of an organisation without a rate limit are refused.
    void admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done);

    /// Called when membership reports that a node is dead or has left.
    void on_member_dead(std::string_view name);

    /// Planned stop: refuses new requests, returns the node's shares and resigns as coordinator. The callback is called
    /// once, within drain_limit.
    void drain(std::function<void()> done);

    void on_message(std::string_view from, std::string_view payload) override;

    share_status status() const;

private:
    share_group& group_of(std::string_view organisation);

    share_settings m_settings;
    std::vector<std::unique_ptr<share_group>> m_groups;
};

} // namespace mulberry::shares
