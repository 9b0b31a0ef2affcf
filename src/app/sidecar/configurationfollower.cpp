#include "app/sidecar/configurationfollower.h"

#include "libs/base/log.h"
#include "libs/store/revision.h"

#include <string>
#include <utility>
#include <variant>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "configuration";

} // namespace

configuration_follower::configuration_follower(timer_service& timers, random_source& random, key_value_store& store,
                                               const platform_adapter& platform,
                                               configuration_callback on_configuration)
    : m_platform(platform), m_on_configuration(std::move(on_configuration)),
      m_follower(timers, random, store, platform.configuration_key(), *this)
{
}

void configuration_follower::on_snapshot(std::span<const store_entry> entries, std::int64_t /*revision*/)
{
    for (const store_entry& entry : entries)
        apply(entry);
}

void configuration_follower::on_changes(std::span<const watch_event> events)
{
    for (const watch_event& event : events) {
        if (!event.deleted)
            apply(event.entry);
    }
}

void configuration_follower::apply(const store_entry& entry)
{
    if (entry.key != m_platform.configuration_key() || entry.mod_revision == m_revision)
        return;
    if (entry.mod_revision < m_revision) {
        return log_warning(log_part, "Ignoring the configuration at revision {}: revision {} has been received.",
                           format_revision(entry.mod_revision), format_revision(m_revision));
    }
    m_revision = entry.mod_revision;
    auto decoded = m_platform.decode_configuration(entry.value);
    if (const auto* problem = std::get_if<std::string>(&decoded)) {
        return log_error(log_part, "Ignoring the invalid configuration at revision {}: {}.",
                         format_revision(entry.mod_revision), *problem);
    }
    m_on_configuration(std::move(std::get<host_configuration>(decoded)));
}

} // namespace mulberry
