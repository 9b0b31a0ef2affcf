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
      m_coordinator(settings, timers), m_report_timer(timers, settings.report_period, [this] { send_report(); })
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
    m_unanswered_reports.clear();
    m_unanswered_since.reset();
    if (current == m_own_name)
        m_coordinator.begin_term();
    return m_last_coordinator;
}

duration quota_service::unanswered_for() const
{
    return m_unanswered_since ? m_timers.now() - *m_unanswered_since : duration{0};
}

bool quota_service::is_coordinator_reachable() const
{
    return unanswered_for() <= m_settings.fallback_after;
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
        const bool admitted = quota.take_even_share(now, m_members.members().size(), false);
        return done(admitted ? std::nullopt : std::optional(rate_refusal(quota)));
    }
    if (quota.is_exhausted(now))
        return done(rate_refusal(quota));
    quota.waiters.push_back({now, std::move(done)});
    if (quota.pending_report_sequence == 0)
        request_tokens(limit->first, quota);
    schedule_waiter_step(limit->first, m_settings.grant_timeout, &quota_service::admit_from_even_share);
    schedule_waiter_step(limit->first, m_settings.max_wait, &quota_service::refuse_waiters);
}

void quota_service::schedule_waiter_step(const std::string& organisation, duration delay, waiter_step step)
{
    m_timers.schedule(delay, [this, organisation, step, since = m_timers.now(), alive = std::weak_ptr<int>(m_alive)] {
        if (alive.expired())
            return;
        const auto found = m_organisation_quotas.find(organisation);
        if (found != m_organisation_quotas.end())
            (this->*step)(found->second, since);
    });
}

void quota_service::admit_from_even_share(organisation_quota& quota, time_point waiting_since)
{
    const auto is_due = [&] { return !quota.waiters.empty() && quota.waiters.front().waiting_since <= waiting_since; };
    // The grant is late or lost, so the tokens may be requested again.
    if (is_due())
        quota.pending_report_sequence = 0;
    while (is_due() && quota.take_even_share(m_timers.now(), m_members.members().size(), is_coordinator_reachable())) {
        auto waiter = std::move(quota.waiters.front());
        quota.waiters.pop_front();
        waiter.done(std::nullopt);
    }
}

void quota_service::refuse_waiters(organisation_quota& quota, time_point waiting_since)
{
    while (!quota.waiters.empty() && quota.waiters.front().waiting_since <= waiting_since) {
        auto waiter = std::move(quota.waiters.front());
        quota.waiters.pop_front();
        waiter.done(rate_refusal(quota));
    }
}

void quota_service::request_tokens(const std::string& organisation, organisation_quota& quota)
{
    const std::uint32_t token_count = quota.tokens_to_request(m_timers.now());
    if (token_count == 0)
        return;
    update_coordinator();
    quota_report report;
    add_to_report(report, organisation, quota, token_count);
    send(std::move(report));
}

void quota_service::add_to_report(quota_report& report, const std::string& organisation, organisation_quota& quota,
                                  std::uint32_t token_count)
{
    quota.pending_report_sequence = m_sequence + 1;
    const auto level = quota.level_of_other(m_timers.now(), m_last_coordinator);
    report.requested_amounts.push_back({organisation, token_count, level});
}

void quota_service::send_report()
{
    const time_point now = m_timers.now();
    const std::string& current = update_coordinator();
    const bool uses_even_shares = !is_coordinator_reachable();
    if (uses_even_shares && !m_uses_even_shares) {
        log_warning(log_part, "Coordinator {} does not respond; using the even share among {} nodes.", current,
                    m_members.members().size());
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
    if (m_last_coordinator.empty())
        return;
    const time_point now = m_timers.now();
    message.unanswered_for = unanswered_for();
    std::erase_if(m_unanswered_reports,
                  [&](const auto& report) { return now - report.second > m_settings.token_lifetime; });
    m_unanswered_reports.emplace(message.sequence, now);
    m_unanswered_since = m_unanswered_since.value_or(now);
    if (m_last_coordinator != m_own_name)
        return m_control.send(m_last_coordinator, control_channel::quota, encode(message));
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
    on_grant(std::string(from), *grant);
}

bool quota_service::take_answered_report(std::uint64_t sequence)
{
    const auto report = m_unanswered_reports.extract(sequence);
    return !report.empty() && m_timers.now() - report.mapped() <= m_settings.token_lifetime;
}

void quota_service::on_answered(std::uint64_t sequence)
{
    const auto later = m_unanswered_reports.upper_bound(sequence);
    m_unanswered_since = later == m_unanswered_reports.end() ? std::nullopt : std::optional<time_point>(later->second);
    for (auto& [name, quota] : m_organisation_quotas)
        quota.end_even_share();
}

void quota_service::on_grant(const std::string& from, const quota_grant& grant)
{
    // The coordinator may have given up this node's tokens by now, and granted them to others.
    if (!take_answered_report(grant.sequence))
        return;
    on_answered(grant.sequence);
    const time_point now = m_timers.now();
    for (const quota_amount& amount : grant.granted_amounts) {
        const auto found = m_organisation_quotas.find(amount.organisation);
        if (found == m_organisation_quotas.end())
            continue;
        found->second.add_tokens(now, amount.tokens);
        if (amount.level)
            found->second.set_level(now, from, *amount.level);
        admit_waiters(found->second);
    }
    for (auto& [name, quota] : m_organisation_quotas) {
        if (quota.pending_report_sequence != grant.sequence)
            continue;
        quota.pending_report_sequence = 0;
        if (!quota.waiters.empty())
            request_or_refuse(name, quota);
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
}

void quota_service::request_or_refuse(const std::string& organisation, organisation_quota& quota)
{
    // The requests came after the report was sent, which asked for fewer tokens.
    if (quota.coordinator_has_tokens())
        return request_tokens(organisation, quota);
    quota.set_exhausted(m_timers.now() + m_settings.exhausted_time);
    for (auto& waiter : std::exchange(quota.waiters, {}))
        waiter.done(rate_refusal(quota));
}

} // namespace mulberry
