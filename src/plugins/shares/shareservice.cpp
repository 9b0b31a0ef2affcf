#include "plugins/shares/shareservice.h"

#include "libs/base/log.h"
#include "plugins/shares/sharegroup.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace mulberry::shares {

namespace {

/// Limit in bytes. The report of a node with thousands of organisations stays well below it.
constexpr std::size_t max_message_bytes = 1'000'000;

/// Converts a number of requests to micro-tokens, rounded and limited to max_value; zero if the number is not positive.
micro_tokens to_micro_tokens(double requests, micro_tokens max_value)
{
    const double tokens = requests * static_cast<double>(one_token);
    if (!(tokens > 0))
        return 0;
    return tokens < static_cast<double>(max_value) ? std::llround(tokens) : max_value;
}

} // namespace

share_service::share_service(share_settings settings, timer_service& timers, random_source& random, control_link& link,
                             key_value_store& store)
    : m_settings(std::move(settings))
{
    m_settings.groups = std::max(m_settings.groups, 1U);
    if (!m_settings.failure_domains)
        m_settings.failure_domains = [this] { return std::vector{m_settings.failure_domain}; };
    for (std::uint32_t number = 0; number < m_settings.groups; ++number)
        m_groups.push_back(std::make_unique<share_group>(m_settings, number, timers, random, link, store));
}

share_service::~share_service() = default;

share_group& share_service::group_of(std::string_view organisation)
{
    return *m_groups[XXH3_64bits(organisation.data(), organisation.size()) % m_groups.size()];
}

void share_service::set_limits(std::string_view organisation, double rate, std::int64_t burst)
{
    const rate_limit limits{to_micro_tokens(rate, max_rate), to_micro_tokens(static_cast<double>(burst), max_burst)};
    group_of(organisation).set_limits(organisation, limits);
}

void share_service::remove_limits(std::string_view organisation)
{
    group_of(organisation).remove_limits(organisation);
}

void share_service::admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done)
{
    group_of(organisation).admit(organisation, std::move(done));
}

void share_service::on_member_dead(std::string_view name)
{
    for (const auto& group : m_groups)
        group->on_member_dead(name);
}

void share_service::drain(std::function<void()> done)
{
    auto remaining = std::make_shared<std::size_t>(m_groups.size());
    for (const auto& group : m_groups) {
        group->drain([remaining, done] {
            if (--*remaining == 0)
                done();
        });
    }
}

void share_service::on_message(std::string_view from, std::string_view payload)
{
    messages::envelope message;
    const bool is_readable =
        payload.size() <= max_message_bytes && message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    const std::uint32_t number = message.has_report()          ? message.report().group()
                                 : message.has_grant()         ? message.grant().group()
                                 : message.has_keeper_change() ? message.keeper_change().group()
                                                               : 0;
    if (!is_readable || number >= m_groups.size()) {
        log_debug("shares", "Discarded a message of {} bytes from {} that cannot be parsed.", payload.size(), from);
        return m_groups.front()->count_rejected();
    }
    m_groups[number]->on_message(from, message);
}

share_status share_service::status() const
{
    share_status result;
    for (const auto& group : m_groups)
        group->add_status(result);
    return result;
}

} // namespace mulberry::shares
