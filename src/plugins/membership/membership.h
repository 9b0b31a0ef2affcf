#pragma once

#include "libs/base/controllink.h"
#include "libs/base/periodictimer.h"
#include "libs/base/randomsource.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/membership/memberdirectory.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace mulberry {

/// Settings of the failure detector. The defaults are specified in docs/design.md.
struct membership_settings {
    /// The own record. Its incarnation must be higher than that of every earlier run with this name.
    member self;
    std::vector<member_seed> seeds;
    /// Period of the SWIM protocol. In each period the node probes the next member.
    duration probe_period{std::chrono::seconds(1)};
    /// Time to wait for a direct response before indirect probes are requested from other members.
    duration probe_timeout{std::chrono::milliseconds(300)};
    /// Number of members from which an indirect probe is requested.
    std::size_t indirect_probes = 3;
    /// Time that a suspected member has to refute the suspicion, for a fleet of up to 10 members. In a larger fleet it
    /// is multiplied by the decimal logarithm of the number of members.
    duration suspicion_time{std::chrono::seconds(3)};
    /// Mean interval between comparisons of the whole table with another member.
    duration anti_entropy_period{std::chrono::seconds(10)};
    /// Time for which a dead member is remembered, so that older records don't add it again.
    duration tombstone_lifetime{std::chrono::minutes(10)};
    /// Mean interval between reads of the seeds in the store.
    duration store_seed_period{std::chrono::minutes(5)};
};

/// Maintains the list of members with the SWIM protocol: members probe each other, and changes are piggybacked on the
/// messages. Attach it to control_channel::membership.
class membership final : public member_directory, public control_handler {
public:
    /// The store may be null; in that case only the seeds of the settings are used.
    membership(membership_settings settings, timer_service& timers, random_source& random, control_link& link,
               key_value_store* store);
    ~membership() override;

    const member& self() const;
    std::span<const member> members() const override;
    std::span<const member> members_of(std::string_view service) const override;
    const member* find(std::string_view name) const override;
    /// The address of a member, of a member that was removed recently, or of a seed.
    std::optional<std::string> address_of(std::string_view name) const;

    void add_listener(member_listener& listener) override;
    void remove_listener(member_listener& listener) override;

    /// Announces the own state. A value that is not higher than the current one is ignored.
    void set_own_state(member_state state);
    /// Announces the own epoch for idempotency keys. A value that is not higher than the current one is ignored.
    void set_own_epoch(std::uint64_t epoch);

    /// Sets a callback that is called once when a run with the own name and a higher incarnation exists, which means
    /// that this run has been replaced.
    void on_superseded(std::function<void(std::uint64_t incarnation)> callback);

    /// True once another member has sent the whole table, or if there is no seed to request it from.
    bool has_joined() const;

    void on_message(std::string_view from, std::string_view payload) override;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
