#include "plugins/quota/quotaservice.h"

#include "libs/base/log.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "quota";
constexpr duration shortest_retry_after = std::chrono::milliseconds(200);
constexpr duration longest_retry_after = std::chrono::seconds(2);

} // namespace

quota_service::quota_service(const quota_settings& settings, std::string own_name, timer_service& timers,
                             const member_directory& members, control_link& control)
    : m_settings(settings), m_own_name(std::move(own_name)), m_timers(timers), m_members(members), m_control(control),
      m_keeper(settings, timers), m_keeper_heard(timers.now()),
      m_report_timer(timers, settings.report_period, [this] { report(); })
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
    m_keeper.set_limits(m_limits);
    for (auto& [name, subject] : m_pockets) {
        if (const auto found = m_limits.find(name); found != m_limits.end())
            subject.set_limit(found->second);
    }
}

std::string quota_service::keeper() const
{
    std::string lowest;
    for (const member& node : m_members.members()) {
        if (node.state != member_state::leaving && (lowest.empty() || node.id.name < lowest))
            lowest = node.id.name;
    }
    return lowest;
}

bool quota_service::hears_keeper() const
{
    return m_timers.now() - m_keeper_heard <= m_settings.fallback_after;
}

refusal quota_service::over_rate(const pocket& subject) const
{
    const double queued = static_cast<double>(m_members.members().size()) / std::max(subject.limit().rate, 0.1);
    const duration wait = std::clamp(from_seconds(queued), shortest_retry_after, longest_retry_after);
    return not_run(refusal_reason::rate_exceeded, wait);
}

void quota_service::admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done)
{
    const auto limit = m_limits.find(organisation);
    if (limit == m_limits.end())
        return done(std::nullopt);
    const time_point now = m_timers.now();
    pocket& subject = m_pockets.try_emplace(limit->first, m_settings, limit->second, now).first->second;
    subject.note_demand(now);
    if (subject.waiters.empty() && subject.take(now)) {
        done(std::nullopt);
        if (subject.asked == 0 && subject.wanted(now) > 0 && !subject.is_dry(now))
            ask(limit->first, subject);
        return;
    }
    if (!hears_keeper()) {
        const bool admitted = subject.take_share(now, m_members.members().size());
        return done(admitted ? std::nullopt : std::optional(over_rate(subject)));
    }
    if (subject.is_dry(now))
        return done(over_rate(subject));
    subject.waiters.push_back({now, std::move(done)});
    if (subject.asked == 0)
        ask(limit->first, subject);
    arm_wait(limit->first);
}

void quota_service::arm_wait(const std::string& organisation)
{
    m_timers.schedule(m_settings.wait,
                      [this, organisation, since = m_timers.now(), alive = std::weak_ptr<int>(m_alive)] {
                          if (alive.expired())
                              return;
                          const auto found = m_pockets.find(organisation);
                          if (found != m_pockets.end())
                              refuse_waiters(found->second, since);
                      });
}

void quota_service::refuse_waiters(pocket& subject, time_point waiting_since)
{
    // The answer may be late; what was asked for is asked for again.
    if (!subject.waiters.empty() && subject.waiters.front().since <= waiting_since)
        subject.asked = 0;
    while (!subject.waiters.empty() && subject.waiters.front().since <= waiting_since) {
        auto waiter = std::move(subject.waiters.front());
        subject.waiters.pop_front();
        const bool admitted = subject.take_share(m_timers.now(), m_members.members().size());
        waiter.done(admitted ? std::nullopt : std::optional(over_rate(subject)));
    }
}

void quota_service::ask(const std::string& organisation, pocket& subject)
{
    const std::uint32_t wanted = subject.wanted(m_timers.now());
    if (wanted == 0)
        return;
    subject.asked = m_sequence + 1;
    send({0, {{organisation, wanted}}});
}

void quota_service::report()
{
    const time_point now = m_timers.now();
    const std::string current = keeper();
    if (current != m_last_keeper) {
        log_info(log_part, "The keeper of the rates is {}, before {}.", current, m_last_keeper);
        m_last_keeper = current;
        m_keeper_heard = now;
        if (current == m_own_name)
            m_keeper.restart();
    }
    if (current == m_own_name)
        m_keeper_heard = now;
    const bool falls_back = !hears_keeper();
    if (falls_back && !m_fell_back) {
        log_warning(log_part, "The keeper {} does not answer; even shares of {} nodes are used.", current,
                    m_members.members().size());
        for (auto& [name, subject] : m_pockets)
            subject.start_share(now, m_members.members().size());
    }
    m_fell_back = falls_back;
    quota_report message;
    for (auto& [name, subject] : m_pockets) {
        const std::uint32_t wanted = subject.wanted(now);
        if (wanted == 0 || subject.asked != 0)
            continue;
        subject.asked = m_sequence + 1;
        message.wanted.push_back({name, wanted});
    }
    send(std::move(message));
}

void quota_service::send(quota_report message)
{
    message.sequence = ++m_sequence;
    const std::string current = keeper();
    if (current.empty())
        return;
    if (current != m_own_name)
        return m_control.send(current, control_channel::quota, encode(message));
    on_grant(m_keeper.grant(m_own_name, message, m_members.members().size()));
}

void quota_service::on_message(std::string_view from, std::string_view payload)
{
    const auto kind = kind_of(payload);
    if (kind == quota_message_kind::report) {
        const auto message = decode_quota_report(payload);
        // Only the keeper gives out tokens; a node that still takes this one for it falls back to its share.
        if (!message || keeper() != m_own_name)
            return;
        const quota_grant answer = m_keeper.grant(std::string(from), *message, m_members.members().size());
        return m_control.send(from, control_channel::quota, encode(answer));
    }
    const auto grant = decode_quota_grant(payload);
    if (!grant) {
        log_warning(log_part, "A message of {} cannot be read.", from);
        return;
    }
    if (from != keeper())
        return;
    m_keeper_heard = m_timers.now();
    on_grant(*grant);
}

void quota_service::on_grant(const quota_grant& grant)
{
    const time_point now = m_timers.now();
    for (const quota_amount& amount : grant.granted) {
        const auto found = m_pockets.find(amount.organisation);
        if (found != m_pockets.end())
            found->second.add(now, amount.tokens);
    }
    for (auto& [name, subject] : m_pockets) {
        if (subject.asked != grant.sequence)
            continue;
        subject.asked = 0;
        serve(subject);
    }
}

void quota_service::serve(pocket& subject)
{
    const time_point now = m_timers.now();
    while (!subject.waiters.empty() && subject.take(now)) {
        auto waiter = std::move(subject.waiters.front());
        subject.waiters.pop_front();
        waiter.done(std::nullopt);
    }
    if (subject.waiters.empty())
        return;
    subject.set_dry(now + m_settings.dry_time);
    for (auto& waiter : std::exchange(subject.waiters, {}))
        waiter.done(over_rate(subject));
}

} // namespace mulberry
