#include "plugins/shares/shareclient.h"

#include "plugins/shares/sharetotals.h"

#include <algorithm>
#include <utility>

namespace mulberry::shares {

namespace {

/// After this time without a response, a request for tokens is considered lost.
constexpr duration token_request_timeout = std::chrono::milliseconds(25);
/// Minimum interval of prefetch requests, which can wait; after a response without tokens, the longer pause applies.
constexpr duration prefetch_gap = std::chrono::milliseconds(100);
constexpr duration prefetch_pause = std::chrono::milliseconds(500);
/// Tokens are prefetched when the level falls below the load of 1/10 s, and requested up to twice that amount.
constexpr std::int64_t prefetch_divisor = 10;
/// Leased capacity that is no longer required is collected for this time before it is reported as returned.
constexpr duration returns_delay = std::chrono::milliseconds(50);
constexpr duration drain_retry = std::chrono::milliseconds(200);
constexpr duration max_denial = std::chrono::seconds(1);
constexpr duration min_retry_after = std::chrono::milliseconds(100);
constexpr duration max_retry_after = std::chrono::seconds(30);
/// Limits the memory used by an organisation that is far above its rate.
constexpr std::size_t max_waiters = 1000;
constexpr std::size_t max_sent_requests = 256;

bool has_units(const share& total)
{
    return total.rate != 0 || total.capacity != 0;
}

} // namespace

share_client::share_client(const share_settings& settings, std::uint32_t group, timer_service& timers,
                           random_source& random, client_owner& owner, bool remote)
    : m_settings(settings), m_group(group), m_timers(timers), m_random(random), m_owner(owner), m_remote(remote),
      m_report_timer(timers, settings.report_interval, [this] { report_if_due(); })
{
}

share_client::~share_client()
{
    for (const auto& [name, state] : m_organisations)
        m_timers.cancel(state.wake_up);
    m_timers.cancel(m_returns_timer);
    m_timers.cancel(m_drain_timer);
}

void share_client::set_limits(std::string_view organisation_name, rate_limit limits)
{
    organisation& state = m_organisations.try_emplace(std::string(organisation_name)).first->second;
    state.bucket.advance(m_timers.now());
    state.bucket.set_limits(limits);
}

void share_client::remove_limits(std::string_view organisation_name)
{
    const auto found = m_organisations.find(organisation_name);
    if (found == m_organisations.end())
        return;
    check_lease_expiry();
    organisation& state = found->second;
    return_share(state, {state.bucket.rate_units(), state.bucket.capacity_units(), 0});
    state.bucket.set_limits({});
}

bool share_client::try_admit(std::string_view organisation_name)
{
    check_lease_expiry();
    const auto found = m_organisations.find(organisation_name);
    if (found == m_organisations.end() || m_draining)
        return false;
    organisation& state = found->second;
    const time_point now = m_timers.now();
    if (!m_remote)
        state.demand.add(now);
    if (!state.waiters.empty() || !is_lease_valid())
        return false;
    state.bucket.advance(now);
    if (!state.bucket.take(one_token))
        return false;
    ++state.admitted;
    return_excess(state, false);
    prefetch_tokens(*found);
    return true;
}

void share_client::wait_for_token(std::string_view organisation_name, duration max_wait, admit_callback done)
{
    if (m_draining)
        return done(not_run_refusal(refusal_reason::draining));
    const auto found = m_organisations.find(organisation_name);
    if (found == m_organisations.end())
        return done(not_run_refusal(refusal_reason::rate_exceeded, max_retry_after));
    organisation& state = found->second;
    const time_point now = m_timers.now();
    const auto queued = static_cast<micro_tokens>(state.waiters.size()) + 1;
    const duration local_wait = is_lease_valid() ? state.bucket.time_until(queued * one_token) : duration::max();
    const bool cannot_be_served = local_wait > max_wait && now < state.denied_until;
    if (cannot_be_served || state.bucket.limits().rate == 0 || state.waiters.size() >= max_waiters)
        return refuse(state, done);
    state.waiters.push_back({now + max_wait, std::move(done)});
    if (local_wait > m_settings.grant_wait / 4)
        request_tokens(*found, token_request_timeout);
    schedule_wake_up(*found);
}

bool share_client::can_request(std::string_view organisation_name) const
{
    const auto found = m_organisations.find(organisation_name);
    return found != m_organisations.end() && !m_coordinator.empty() && m_timers.now() >= found->second.denied_until;
}

bool share_client::may_borrow(std::string_view organisation_name) const
{
    const auto found = m_organisations.find(organisation_name);
    return found != m_organisations.end() && found->second.may_borrow;
}

void share_client::serve_waiters(organisation_map::value_type& entry)
{
    organisation& state = entry.second;
    check_lease_expiry();
    state.bucket.advance(m_timers.now());
    while (!state.waiters.empty()) {
        const bool served = is_lease_valid() && state.bucket.take(one_token);
        if (!served && !cannot_be_served(state))
            break;
        const admit_callback done = std::move(state.waiters.front().done);
        state.waiters.pop_front();
        if (served) {
            ++state.admitted;
            done(std::nullopt);
            continue;
        }
        refuse(state, done);
    }
    if (state.waiters.empty()) {
        return_excess(state, false);
    }
    else if (m_timers.now() >= state.denied_until) {
        request_tokens(entry, token_request_timeout);
    }
    schedule_wake_up(entry);
}

/// Whether the first waiter's deadline has passed, or the coordinator has denied a token until after the deadline and
/// the node's own bucket accrues none before it.
bool share_client::cannot_be_served(const organisation& state) const
{
    const time_point now = m_timers.now();
    const time_point deadline = state.waiters.front().deadline;
    if (now >= deadline)
        return true;
    return state.denied_until >= deadline && (!is_lease_valid() || state.bucket.time_until(one_token) > deadline - now);
}

void share_client::schedule_wake_up(organisation_map::value_type& entry)
{
    organisation& state = entry.second;
    m_timers.cancel(std::exchange(state.wake_up, 0));
    if (state.waiters.empty())
        return;
    const time_point now = m_timers.now();
    duration delay = state.waiters.front().deadline - now;
    if (is_lease_valid())
        delay = std::min(delay, state.bucket.time_until(one_token));
    if (state.denied_until > now)
        delay = std::min(delay, state.denied_until - now);
    state.wake_up = m_timers.schedule(delay, [this, &entry] {
        entry.second.wake_up = 0;
        serve_waiters(entry);
    });
}

void share_client::refuse(organisation& state, const admit_callback& done)
{
    ++state.refused;
    done(not_run_refusal(refusal_reason::rate_exceeded, retry_after(state)));
}

/// Time in which the organisation's rate serves one second of this node's load, plus jitter of the same length, so that
/// callers do not retry at the same time. The rate held by this node is no basis for the value: at small rates the
/// coordinator keeps the tokens, and a caller at 5 requests/s was told to wait for 27 s.
duration share_client::retry_after(const organisation& state)
{
    const micro_tokens rate = state.bucket.limits().rate;
    if (rate <= 0)
        return max_retry_after;
    const micro_tokens load = std::max(state.demand.rate(m_timers.now()), one_token);
    const duration base =
        std::clamp(duration{scaled(load, std::micro::den, rate)}, min_retry_after, max_retry_after / 2);
    return base + duration{static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(base.count())))};
}

void share_client::prefetch_tokens(organisation_map::value_type& entry)
{
    organisation& state = entry.second;
    const time_point now = m_timers.now();
    const micro_tokens low_level = state.demand.rate(now) / prefetch_divisor;
    if (low_level < one_token || state.bucket.level() >= low_level || now < state.denied_until ||
        now < state.next_prefetch)
        return;
    request_tokens(entry, prefetch_gap);
}

void share_client::request_tokens(organisation_map::value_type& entry, duration gap)
{
    organisation& state = entry.second;
    const time_point now = m_timers.now();
    if (now < state.request_pending_until || m_coordinator.empty() || m_draining)
        return;
    state.request_pending_until = now + gap;
    if (m_opening) {
        report_all();
        return;
    }
    messages::envelope message;
    messages::report& report = start_report(message);
    add_report_line(report, entry);
    assign_request_number(report, false);
    m_owner.send(m_coordinator, message);
}

messages::report& share_client::start_report(messages::envelope& message)
{
    messages::report& report = *message.mutable_report();
    report.set_group(m_group);
    report.set_epoch(m_epoch);
    report.set_incarnation(m_settings.node.incarnation);
    report.set_session(m_session);
    report.set_opening(m_opening);
    report.set_foreign(m_remote);
    return report;
}

std::uint64_t share_client::assign_request_number(messages::report& report, bool periodic)
{
    const std::uint64_t number = ++m_last_request;
    report.set_request(number);
    report.set_periodic(periodic);
    m_sent_requests[number] = {m_timers.now(), periodic};
    if (m_sent_requests.size() > max_sent_requests)
        m_sent_requests.erase(m_sent_requests.begin());
    return number;
}

void share_client::add_report_line(messages::report& report, organisation_map::value_type& entry)
{
    organisation& state = entry.second;
    state.has_unreported_returns = false;
    messages::report_line& line = *report.add_lines();
    line.set_organisation(entry.first);
    if (has_units(state.adopted))
        write_total(state.adopted, *line.mutable_adopted());
    if (has_units(state.returned))
        write_total(state.returned, *line.mutable_returned());
    if (m_draining) {
        state.reported_demand = 0;
        return;
    }
    const time_point now = m_timers.now();
    state.bucket.advance(now);
    const micro_tokens level = state.bucket.level();
    const micro_tokens demand = state.demand.rate(now);
    state.reported_demand = demand;
    line.set_demand(demand);
    const micro_tokens low_level = demand / prefetch_divisor;
    const micro_tokens prefetch_amount = low_level >= one_token && level < low_level ? 2 * low_level : 0;
    const micro_tokens queued = static_cast<micro_tokens>(state.waiters.size()) * one_token;
    if (queued > 0)
        line.set_needed(std::max(one_token - level, micro_tokens{0}));
    line.set_wanted(std::max({queued + prefetch_amount - level, line.needed(), micro_tokens{0}}));
    line.set_room(state.bucket.capacity() - level);
}

bool share_client::has_holdings() const
{
    return std::ranges::any_of(m_organisations, [](const auto& entry) {
        return entry.second.bucket.rate_units() > 0 || entry.second.bucket.capacity_units() > 0;
    });
}

/// A remote client reports only while the coordinator still counts a share as leased to it.
void share_client::report_if_due()
{
    check_lease_expiry();
    if (!m_remote || has_holdings() || m_return_request != 0)
        report_all();
}

/// Sends a full report and returns its request number, or 0 if there is no coordinator.
std::uint64_t share_client::report_all()
{
    if (m_coordinator.empty())
        return 0;
    messages::envelope message;
    messages::report& report = start_report(message);
    for (auto& entry : m_organisations) {
        organisation& state = entry.second;
        const bool has_totals = has_units(state.adopted) || has_units(state.granted);
        const bool has_load = state.reported_demand > 0 || state.demand.rate(m_timers.now()) > 0;
        if (has_totals || has_load || !state.waiters.empty())
            add_report_line(report, entry);
    }
    const std::uint64_t number = assign_request_number(report, true);
    m_owner.send(m_coordinator, message);
    return number;
}

void share_client::schedule_returns()
{
    if (m_returns_timer == 0)
        m_returns_timer = m_timers.schedule(returns_delay, [this] { report_returns(); });
}

/// Reports returns since the last report to the coordinator. No response is required: the next report repeats the
/// totals if this message is lost.
void share_client::report_returns()
{
    m_returns_timer = 0;
    check_lease_expiry();
    if (m_opening || m_coordinator.empty())
        return;
    messages::envelope message;
    messages::report& report = start_report(message);
    for (auto& entry : m_organisations) {
        if (!entry.second.has_unreported_returns)
            continue;
        add_report_line(report, entry);
        report.mutable_lines()->rbegin()->clear_wanted();
        report.mutable_lines()->rbegin()->clear_needed();
    }
    if (report.lines_size() > 0)
        m_owner.send(m_coordinator, message);
}

void share_client::check_lease_expiry()
{
    if (!m_has_lease || m_timers.now() < m_lease_end)
        return;
    drop_holdings();
}

void share_client::drop_holdings()
{
    m_has_lease = false;
    for (auto& [name, state] : m_organisations)
        state.bucket.release();
    start_session();
}

/// Opens a session in which the coordinator is expected to adopt all holdings.
void share_client::start_session()
{
    ++m_session;
    m_opening = true;
    m_sent_requests.clear();
    m_last_ignored_request = m_last_request;
    m_return_request = 0;
    for (auto& [name, state] : m_organisations) {
        state.adopted = {state.bucket.rate_units(), state.bucket.capacity_units(), 0};
        state.granted = {};
        state.returned = {};
        state.target = state.adopted;
        state.request_pending_until = {};
        state.denied_until = {};
    }
}

/// The coordinator counts an adopted share as in use for one grant lease, so the node must not use it longer than that
/// without a response.
void share_client::limit_lease(time_point end)
{
    end = std::min(end, m_timers.now() + m_settings.grant_lease);
    m_lease_end = m_has_lease ? std::min(m_lease_end, end) : end;
    m_has_lease = true;
}

void share_client::extend_lease(time_point end)
{
    const bool first = m_opening;
    m_lease_end = m_has_lease && !first ? std::max(m_lease_end, end) : end;
    m_has_lease = true;
    m_opening = false;
}

void share_client::set_coordinator(const std::string& name, std::uint64_t epoch)
{
    if (epoch < m_epoch)
        return;
    if (epoch == m_epoch) {
        // An epoch has one coordinator. After its planned stop, the epoch has none.
        if (m_coordinator.empty() && epoch == 0)
            m_coordinator = name;
        if (name.empty())
            m_coordinator.clear();
        return;
    }
    check_lease_expiry();
    m_epoch = epoch;
    m_coordinator = name;
    m_last_contact = m_timers.now();
    start_session();
    if (m_has_lease)
        limit_lease(m_lease_end);
    // A remote client reports once as well, so that the round trip to this coordinator is known before one has to be
    // chosen.
    m_round_trip = duration{0};
    report_all();
}

void share_client::take_over(const share_map& remaining, time_point end)
{
    check_lease_expiry();
    for (const auto& [name, added] : remaining) {
        organisation& state = m_organisations.try_emplace(name).first->second;
        state.bucket.advance(m_timers.now());
        state.bucket.merge(added);
        state.adopted += {added.rate, added.capacity, 0};
    }
    limit_lease(end);
    m_opening = true;
    m_last_ignored_request = m_last_request;
    report_all();
}

void share_client::on_grant(std::string_view from, const messages::grant& grant)
{
    check_lease_expiry();
    if (from != m_coordinator || grant.epoch() != m_epoch || grant.incarnation() != m_settings.node.incarnation ||
        grant.session() != m_session)
        return;
    if (grant.rejected()) {
        m_last_contact = m_timers.now();
        drop_holdings();
        return;
    }
    bool periodic = true;
    if (grant.request() != 0) {
        const auto sent = m_sent_requests.find(grant.request());
        if (sent == m_sent_requests.end() || grant.request() <= m_last_ignored_request)
            return;
        const time_point sent_at = sent->second.sent_at;
        periodic = sent->second.periodic;
        m_last_contact = m_timers.now();
        m_round_trip =
            m_round_trip == duration{0} ? m_last_contact - sent_at : std::min(m_round_trip, m_last_contact - sent_at);
        if (periodic && grant.request() >= m_return_request)
            m_return_request = 0;
        const duration lease = std::clamp(duration{grant.lease()}, duration{0}, m_settings.grant_lease);
        if (sent_at + lease <= m_timers.now())
            return;
        extend_lease(sent_at + lease);
    }
    else if (m_opening) {
        return;
    }
    for (const messages::grant_line& line : grant.lines()) {
        const auto found = m_organisations.find(line.organisation());
        if (found == m_organisations.end() || !apply_grant_line(found->second, line))
            continue;
        if (found->second.waiters.empty()) {
            return_excess(found->second, periodic);
        }
        else {
            serve_waiters(*found);
        }
    }
    if (!m_remote && grant.others_size() > 0)
        m_owner.on_coordinators_listed(grant);
    if (m_on_drained && grant.request() >= m_drain_request)
        std::exchange(m_on_drained, nullptr)();
}

/// Adds the part of the granted total that the client has not received yet. Returns false for a stale or invalid line.
bool share_client::apply_grant_line(organisation& state, const messages::grant_line& line)
{
    const time_point now = m_timers.now();
    const share total = read_total(line.granted());
    const share added = total - state.granted;
    if (added.rate < 0 || added.capacity < 0 || added.level < 0 ||
        added.rate > full_share - state.bucket.rate_units() ||
        added.capacity > full_share - state.bucket.capacity_units())
        return false;
    state.bucket.advance(now);
    state.bucket.merge({added.rate, added.capacity, std::min(added.level, max_burst)});
    state.granted = total;
    state.target = {std::clamp(line.target_rate(), share_units{0}, full_share),
                    std::clamp(line.target_capacity(), share_units{0}, full_share), 0};
    state.denied_until = now + std::clamp(duration{line.denied()}, duration{0}, max_denial);
    state.request_pending_until = {};
    state.may_borrow = line.may_borrow();
    if (added.level == 0)
        state.next_prefetch = now + prefetch_pause;
    return true;
}

/// Returns the share above the coordinator's target. Capacity without tokens is returned at any time, so that leased
/// capacity goes back as soon as it is used; the rest only if include_idle is set, that is in response to a periodic
/// report or at the coordinator's request.
void share_client::return_excess(organisation& state, bool include_idle)
{
    const share_units spare_rate = state.bucket.rate_units() - state.target.rate;
    const share_units spare_capacity = state.bucket.capacity_units() - state.target.capacity;
    share excess;
    if (include_idle) {
        excess.rate = spare_rate > state.target.rate / 10 ? spare_rate : 0;
        excess.capacity = spare_capacity > state.target.capacity / 10 ? spare_capacity : 0;
    }
    else if (spare_capacity > 0) {
        const micro_tokens burst = state.bucket.limits().burst;
        const micro_tokens unused = state.bucket.capacity() - state.bucket.level();
        if (unused >= one_token / 2 && burst > 0)
            excess.capacity = std::min(spare_capacity, scaled(unused, full_share, burst));
    }
    if (has_units(excess))
        return_share(state, excess);
}

void share_client::return_share(organisation& state, const share& excess)
{
    state.bucket.advance(m_timers.now());
    const micro_tokens remaining_capacity =
        scaled(state.bucket.limits().burst, state.bucket.capacity_units() - excess.capacity, full_share);
    const micro_tokens spare = std::max(state.bucket.level() - remaining_capacity, micro_tokens{0});
    state.returned += state.bucket.split({excess.rate, excess.capacity, spare});
    state.has_unreported_returns = true;
    m_return_request = m_last_request + 1;
    schedule_returns();
}

void share_client::drain(std::function<void()> done)
{
    m_draining = true;
    m_on_drained = std::move(done);
    check_lease_expiry();
    for (auto& [name, state] : m_organisations) {
        while (!state.waiters.empty()) {
            const admit_callback refused = std::move(state.waiters.front().done);
            state.waiters.pop_front();
            refused(not_run_refusal(refusal_reason::draining));
        }
        return_share(state, {state.bucket.rate_units(), state.bucket.capacity_units(), 0});
    }
    m_drain_request = m_last_request + 1;
    retry_drain();
}

void share_client::retry_drain()
{
    m_drain_timer = 0;
    if (!m_on_drained)
        return;
    check_lease_expiry();
    report_all();
    m_drain_timer = m_timers.schedule(drain_retry, [this] { retry_drain(); });
}

std::vector<organisation_status> share_client::status() const
{
    std::vector<organisation_status> result;
    const auto tokens = [](micro_tokens value) { return static_cast<double>(value) / static_cast<double>(one_token); };
    for (const auto& [name, state] : m_organisations) {
        const bool has_lease = is_lease_valid();
        result.push_back({name, has_lease ? tokens(state.bucket.rate()) : 0,
                          has_lease ? tokens(state.bucket.capacity()) : 0, has_lease ? tokens(state.bucket.level()) : 0,
                          tokens(state.demand.rate(m_timers.now())), state.admitted, state.refused});
    }
    return result;
}

} // namespace mulberry::shares
