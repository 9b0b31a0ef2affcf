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

/// The rate and burst of organisations, held across all nodes together. Attach it to control_channel::shares. All calls
/// and callbacks happen on the thread of the timer service.
class share_service final : public control_handler {
public:
    /// Starts at once: finds its keeper through the store, or names itself.
    share_service(share_settings settings, timer_service& timers, random_source& random, control_link& link,
                  key_value_store& store);
    ~share_service() override;

    /// Sets an organisation's figure from the configuration: requests per second and requests. It takes effect at this
    /// node at once; see docs/design.md, section shares. A rate of zero refuses every request.
    void set_limits(std::string_view organisation, double rate, std::int64_t burst);
    /// Forgets an organisation that the configuration no longer has.
    void remove_limits(std::string_view organisation);

    /// Takes a token. The callback gets nothing if the request may run, else a refusal `rate_exceeded` with a
    /// Retry-After. It is called before admit returns if a token is there, else within grant_wait. An organisation
    /// without a figure is refused.
    void admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done);

    /// Membership reports that a node is dead or has left.
    void on_member_dead(std::string_view name);

    /// Planned stop: refuses new requests, returns what it holds and gives up the keeper's role. The callback comes
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
