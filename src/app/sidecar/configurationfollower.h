#pragma once

#include "app/sidecar/platformadapter.h"
#include "libs/store/storefollower.h"

#include <functional>
#include <optional>

namespace mulberry {

/// Reads the configuration and its changes from the store and passes on each one that is valid.
class configuration_follower final : private store_follower_listener {
public:
    using configuration_callback = std::function<void(host_configuration)>;

    /// The timers, the store and the platform outlive the follower. The callback may receive an older version than
    /// before.
    configuration_follower(timer_service& timers, random_source& random, key_value_store& store,
                           const platform_adapter& platform, configuration_callback on_configuration);

    void start() { m_follower.start(); }
    /// The latest time up to which all changes are known to have been passed on; empty before the first read.
    std::optional<time_point> confirmed_until() const { return m_follower.confirmed_until(); }

private:
    void on_snapshot(std::span<const store_entry> entries, std::int64_t revision) override;
    void on_changes(std::span<const watch_event> events) override;
    void apply(const store_entry& entry);

    const platform_adapter& m_platform;
    configuration_callback m_on_configuration;
    std::int64_t m_revision = 0;
    store_follower m_follower;
};

} // namespace mulberry
