#include "plugins/quota/quotaservice.h"

#include "libs/base/log.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "quota";
constexpr duration min_retry_after = std::chrono::milliseconds(200);
constexpr duration max_retry_after = std::chrono::seconds(2);

} // namespace

quota_service::quota_service(const quota_settings& settings, std::string own_name, timer_service& timers,
                             const member_directory& members, control_link& control)
    : m_settings(settings), m_own_name(std::move(own_name)), m_timers(timers), m_members(members), m_control(control),
      m_coordinator(settings, timers), m_last_coordinator_response(timers.now()),
      m_report_timer(timers, settings.report_period, [this] { send_report(); })
{
}

quota_service::~quota_service() = default;

void quota_service::set_limits(std::vector<quota_limit> limits)
{
    m_limits.clear();
    for (quota_limit& limit : limits) {
        if (limit.rate > 0)
            m_limits.emplace(limit.organisation, limit);
    }
    m_coordinator.set_limits(m_limits);
    for (auto it = m_organisation_quotas.begin(); it != m_organisation_quotas.end();) {
        const auto found = m_limits.find(it->first);
        if (found == m_limits.end()) {
            it = remove_quota(it);
            continue;
        }
        it->second.set_limit(found->second);
        ++it;
    }
}

quota_service::quota_map::iterator quota_service::remove_quota(quota_map::iterator position)
{
    // Requests that wait for a token need none any more.
    const auto waiters = std::exchange(position->second.waiters, {});
    const auto next = m_organisation_quotas.erase(position);
    for (const auto& waiter : waiters)
        waiter.done(std::nullopt);
    return next;
}

std::string quota_service::coordinator() const
{
    std::string lowest_name;
    for (const member& node : m_members.members()) {
        if (node.state != member_state::leaving && (lowest_name.empty() || node.id.name < lowest_name))
            lowest_name = node.id.name;
    }
    return lowest_name;
}

const std::string& quota_service::update_coordinator()
{
    const std::string current = coordinator();
    if (current == m_last_coordinator)
        return m_last_coordinator;
    log_info(log_part, "The coordinator of the quotas is now {}; previously: {}.", current, m_last_coordinator);
    m_last_coordinator = current;
    m_last_coordinator_response = m_timers.now();
    if (current == m_own_name)
        m_coordinator.begin_term();
    return m_last_coordinator;
}

bool quota_service::is_coordinator_reachable() const
{
    return m_timers.now() - m_last_coordinator_response <= m_settings.fallback_after;
}

refusal quota_service::rate_refusal(const organisation_quota& quota) const
{
    const double wait_s = static_cast<double>(m_members.members().size()) / std::max(quota.limit().rate, 0.1);
    const duration wait = std::clamp(from_seconds(wait_s), min_retry_after, max_retry_after);
    return not_run_refusal(refusal_reason::rate_exceeded, wait);
}

void quota_service::admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done)
{
    const auto limit = m_limits.find(organisation);
    if (limit == m_limits.end())
        return done(std::nullopt);
    const time_point now = m_timers.now();
    organisation_quota& quota =
        m_organisation_quotas.try_emplace(limit->first, m_settings, limit->second, now).first->second;
    quota.record_demand(now);
    if (quota.waiters.empty() && quota.take_token(now)) {
        done(std::nullopt);
        if (quota.pending_report_sequence == 0 && quota.tokens_to_request(now) > 0 && !quota.is_exhausted(now))
            request_tokens(limit->first, quota);
        return;
    }
    if (!is_coordinator_reachable()) {
        const bool admitted = quota.take_even_share(now, m_members.members().size());
        return done(admitted ? std::nullopt : std::optional(rate_refusal(quota)));
    }
    if (quota.is_exhausted(now))
        return done(rate_refusal(quota));
    quota.waiters.push_back({now, std::move(done)});
    if (quota.pending_report_sequence == 0)
        request_tokens(limit->first, quota);
    schedule_wait_limit(limit->first);
}

void quota_service::schedule_wait_limit(const std::string& organisation)
{
    m_timers.schedule(m_settings.max_wait,
                      [this, organisation, since = m_timers.now(), alive = std::weak_ptr<int>(m_alive)] {
                          if (alive.expired())
                              return;
                          const auto found = m_organisation_quotas.find(organisation);
                          if (found != m_organisation_quotas.end())
                              refuse_waiters(found->second, since);
                      });
}

void quota_service::refuse_waiters(organisation_quota& quota, time_point waiting_since)
{
    // The response is late or lost, so the tokens may be requested again.
    if (!quota.waiters.empty() && quota.waiters.front().waiting_since <= waiting_since)
        quota.pending_report_sequence = 0;
    while (!quota.waiters.empty() && quota.waiters.front().waiting_since <= waiting_since) {
        auto waiter = std::move(quota.waiters.front());
        quota.waiters.pop_front();
        const bool admitted = quota.take_even_share(m_timers.now(), m_members.members().size());
        waiter.done(admitted ? std::nullopt : std::optional(rate_refusal(quota)));
    }
}

void quota_service::request_tokens(const std::string& organisation, organisation_quota& quota)
{
    const std::uint32_t token_count = quota.tokens_to_request(m_timers.now());
    if (token_count == 0)
        return;
    quota_report report;
    add_to_report(report, organisation, quota, token_count);
    send(std::move(report));
}

void quota_service::add_to_report(quota_report& report, const std::string& organisation, organisation_quota& quota,
                                  std::uint32_t token_count)
{
    quota.pending_report_sequence = m_sequence + 1;
    const auto level = quota.level_of_other(m_timers.now(), update_coordinator());
    report.requested_amounts.push_back({organisation, token_count, level});
}

void quota_service::send_report()
{
    const time_point now = m_timers.now();
    const std::string& current = update_coordinator();
    if (current == m_own_name)
        m_last_coordinator_response = now;
    const bool uses_even_shares = !is_coordinator_reachable();
    if (uses_even_shares && !m_uses_even_shares) {
        log_warning(log_part, "Coordinator {} does not respond; using the even share among {} nodes.", current,
                    m_members.members().size());
        for (auto& [name, quota] : m_organisation_quotas)
            quota.reset_even_share(now, m_members.members().size());
    }
    m_uses_even_shares = uses_even_shares;
    quota_report message;
    for (auto& [name, quota] : m_organisation_quotas) {
        const std::uint32_t token_count = quota.tokens_to_request(now);
        const bool has_level = quota.level_of_other(now, current).has_value();
        if ((token_count == 0 && !has_level) || quota.pending_report_sequence != 0)
            continue;
        add_to_report(message, name, quota, token_count);
    }
    send(std::move(message));
}

void quota_service::send(quota_report message)
{
    message.sequence = ++m_sequence;
    const std::string& current = update_coordinator();
    if (current.empty())
        return;
    if (current != m_own_name)
        return m_control.send(current, control_channel::quota, encode(message));
    on_grant(m_own_name, m_coordinator.grant(m_own_name, message, m_members.members().size()));
}

void quota_service::on_message(std::string_view from, std::string_view payload)
{
    const auto kind = kind_of(payload);
    if (kind == quota_message_kind::report) {
        const auto message = decode_quota_report(payload);
        // Only the coordinator grants tokens. A node that wrongly takes this node for the coordinator gets no response
        // and uses its even share.
        if (!message || update_coordinator() != m_own_name)
            return;
        const quota_grant response = m_coordinator.grant(std::string(from), *message, m_members.members().size());
        return m_control.send(from, control_channel::quota, encode(response));
    }
    const auto grant = decode_quota_grant(payload);
    if (!grant) {
        log_warning(log_part, "Received an unreadable message from {}.", from);
        return;
    }
    if (from != update_coordinator())
        return;
    m_last_coordinator_response = m_timers.now();
    on_grant(std::string(from), *grant);
}

void quota_service::on_grant(const std::string& from, const quota_grant& grant)
{
    const time_point now = m_timers.now();
    for (const quota_amount& amount : grant.granted_amounts) {
        const auto found = m_organisation_quotas.find(amount.organisation);
        if (found == m_organisation_quotas.end())
            continue;
        found->second.add_tokens(now, amount.tokens);
        if (amount.level)
            found->second.set_level(now, from, *amount.level);
    }
    for (auto& [name, quota] : m_organisation_quotas) {
        if (quota.pending_report_sequence != grant.sequence)
            continue;
        quota.pending_report_sequence = 0;
        admit_waiters(quota);
    }
}

void quota_service::admit_waiters(organisation_quota& quota)
{
    const time_point now = m_timers.now();
    while (!quota.waiters.empty() && quota.take_token(now)) {
        auto waiter = std::move(quota.waiters.front());
        quota.waiters.pop_front();
        waiter.done(std::nullopt);
    }
    if (quota.waiters.empty())
        return;
    quota.set_exhausted(now + m_settings.exhausted_time);
    for (auto& waiter : std::exchange(quota.waiters, {}))
        waiter.done(rate_refusal(quota));
}

} // namespace mulberry
