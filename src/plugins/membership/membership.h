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

/// Settings of the failure detector. The defaults are those of docs/design.md.
struct membership_settings {
    /// The own record; its incarnation must be higher than that of every earlier run at this name.
    member self;
    std::vector<member_seed> seeds;
    duration probe_period{std::chrono::seconds(1)};
    /// Time for a direct answer before other members are asked to probe.
    duration probe_timeout{std::chrono::milliseconds(300)};
    std::size_t indirect_probes = 3;
    /// Time that a suspected member has to refute, for a fleet of 10; it grows with the logarithm of the fleet.
    duration suspicion_time{std::chrono::seconds(3)};
    duration anti_entropy_period{std::chrono::seconds(10)};
    duration tombstone_lifetime{std::chrono::minutes(10)};
    duration store_seed_period{std::chrono::minutes(5)};
};

/// Keeps the list of members by SWIM-style probing with piggybacked changes. Attach it to control_channel::membership.
class membership final : public member_directory, public control_handler {
public:
    /// The store may be null; then only the seeds of the settings are used.
    membership(membership_settings settings, timer_service& timers, random_source& random, control_link& link,
               key_value_store* store);
    ~membership() override;

    const member& self() const;
    std::span<const member> members() const override;
    std::span<const member> members_of(std::string_view service) const override;
    const member* find(std::string_view name) const override;
    /// The address of a member, of a member declared dead in the last minutes, or of a seed.
    std::optional<std::string> address_of(std::string_view name) const;

    void add_listener(member_listener& listener) override;
    void remove_listener(member_listener& listener) override;

    /// Announces the own state; a step back is ignored.
    void set_own_state(member_state state);
    /// Announces the own epoch for idempotency keys; a step back is ignored.
    void set_own_epoch(std::uint64_t epoch);

    /// Called once when a run with a higher incarnation exists at the own name: this run has been replaced.
    void on_superseded(std::function<void(std::uint64_t incarnation)> callback);

    /// True once another member has answered, or when there is no seed to ask.
    bool joined() const;

    void on_message(std::string_view from, std::string_view payload) override;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
