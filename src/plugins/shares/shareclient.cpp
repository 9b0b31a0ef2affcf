#include "plugins/shares/shareclient.h"

#include "plugins/shares/sharetotals.h"

#include <algorithm>
#include <utility>

namespace mulberry::shares {

namespace {

/// After this the answer to a request for tokens counts as lost.
constexpr duration ask_gap = std::chrono::milliseconds(25);
/// Requests ahead of need are not urgent, and less so when the last one brought nothing.
constexpr duration ahead_gap = std::chrono::milliseconds(100);
constexpr duration ahead_pause = std::chrono::milliseconds(500);
/// Tokens are asked for ahead when the level falls below the load of this time, up to twice as much.
constexpr std::int64_t ahead_divisor = 10;
/// Used-up loans are collected for so long before they are returned.
constexpr duration returns_delay = std::chrono::milliseconds(50);
constexpr duration drain_retry = std::chrono::milliseconds(200);
constexpr duration longest_denial = std::chrono::seconds(1);
constexpr duration shortest_retry_after = std::chrono::milliseconds(100);
constexpr duration longest_retry_after = std::chrono::seconds(30);
/// Bounds the memory of an organisation far over its rate.
constexpr std::size_t max_waiters = 1000;
constexpr std::size_t max_requests = 256;

bool has_parts(const share& total)
{
    return total.rate != 0 || total.capacity != 0;
}

} // namespace

share_client::share_client(const share_settings& settings, std::uint32_t group, timer_service& timers,
                           random_source& random, client_owner& owner, bool foreign)
    : m_settings(settings), m_group(group), m_timers(timers), m_random(random), m_owner(owner), m_foreign(foreign),
      m_reports(timers, settings.report_interval, [this] { report_if_due(); })
{
}

share_client::~share_client()
{
    for (const auto& [name, state] : m_organisations)
        m_timers.cancel(state.wake_up);
    m_timers.cancel(m_returns_timer);
    m_timers.cancel(m_drain_timer);
}

void share_client::set_limits(std::string_view organisation_name, figure limits)
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
    expire();
    organisation& state = found->second;
    return_share(state, {state.bucket.rate_parts(), state.bucket.capacity_parts(), 0});
    state.bucket.set_limits({});
}

// Admission --------------------------------------------------------------------------------------------------------

bool share_client::try_admit(std::string_view organisation_name)
{
    expire();
    const auto found = m_organisations.find(organisation_name);
    if (found == m_organisations.end() || m_draining)
        return false;
    organisation& state = found->second;
    const time_point now = m_timers.now();
    if (!m_foreign)
        state.demand.add(now);
    if (!state.waiters.empty() || !lease_valid())
        return false;
    state.bucket.advance(now);
    if (!state.bucket.take(one_token))
        return false;
    ++state.admitted;
    trim(state, false);
    ask_ahead(*found);
    return true;
}

void share_client::wait(std::string_view organisation_name, duration longest, admit_callback done)
{
    if (m_draining)
        return done(not_run(refusal_reason::draining));
    const auto found = m_organisations.find(organisation_name);
    if (found == m_organisations.end())
        return done(not_run(refusal_reason::rate_exceeded, longest_retry_after));
    organisation& state = found->second;
    const time_point now = m_timers.now();
    const auto queued = static_cast<micro_tokens>(state.waiters.size()) + 1;
    const duration local = lease_valid() ? state.bucket.time_until(queued * one_token) : duration::max();
    const bool hopeless = local > longest && now < state.denied_until;
    if (hopeless || state.bucket.limits().rate == 0 || state.waiters.size() >= max_waiters)
        return refuse(state, done);
    state.waiters.push_back({now + longest, std::move(done)});
    if (local > m_settings.grant_wait / 4)
        ask(*found, ask_gap);
    arm(*found);
}

bool share_client::can_ask(std::string_view organisation_name) const
{
    const auto found = m_organisations.find(organisation_name);
    return found != m_organisations.end() && !m_keeper.empty() && m_timers.now() >= found->second.denied_until;
}

bool share_client::may_borrow(std::string_view organisation_name) const
{
    const auto found = m_organisations.find(organisation_name);
    return found != m_organisations.end() && found->second.may_borrow;
}

void share_client::serve(organisation_map::value_type& entry)
{
    organisation& state = entry.second;
    expire();
    state.bucket.advance(m_timers.now());
    while (!state.waiters.empty()) {
        const bool served = lease_valid() && state.bucket.take(one_token);
        if (!served && !is_hopeless(state))
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
        trim(state, false);
    }
    else if (m_timers.now() >= state.denied_until) {
        ask(entry, ask_gap);
    }
    arm(entry);
}

/// The first waiter's time is over, or the keeper has denied a token for longer and none arrives here.
bool share_client::is_hopeless(const organisation& state) const
{
    const time_point now = m_timers.now();
    const time_point deadline = state.waiters.front().deadline;
    if (now >= deadline)
        return true;
    return state.denied_until >= deadline && (!lease_valid() || state.bucket.time_until(one_token) > deadline - now);
}

void share_client::arm(organisation_map::value_type& entry)
{
    organisation& state = entry.second;
    m_timers.cancel(std::exchange(state.wake_up, 0));
    if (state.waiters.empty())
        return;
    const time_point now = m_timers.now();
    duration delay = state.waiters.front().deadline - now;
    if (lease_valid())
        delay = std::min(delay, state.bucket.time_until(one_token));
    if (state.denied_until > now)
        delay = std::min(delay, state.denied_until - now);
    state.wake_up = m_timers.schedule(delay, [this, &entry] {
        entry.second.wake_up = 0;
        serve(entry);
    });
}

void share_client::refuse(organisation& state, const admit_callback& done)
{
    ++state.refused;
    done(not_run(refusal_reason::rate_exceeded, retry_after(state)));
}

/// The time in which the organisation's rate serves the load of a second at this node, with jitter of the same length
/// so that the callers do not come back together. The rate held here says little: tokens of a small rate stay with the
/// keeper, and a caller at 5 requests/s was told to wait for 27 s.
duration share_client::retry_after(const organisation& state)
{
    const micro_tokens rate = state.bucket.limits().rate;
    if (rate <= 0)
        return longest_retry_after;
    const micro_tokens load = std::max(state.demand.rate(m_timers.now()), one_token);
    const duration base =
        std::clamp(duration{scaled(load, std::micro::den, rate)}, shortest_retry_after, longest_retry_after / 2);
    return base + duration{static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(base.count())))};
}

// Reports ----------------------------------------------------------------------------------------------------------

void share_client::ask_ahead(organisation_map::value_type& entry)
{
    organisation& state = entry.second;
    const time_point now = m_timers.now();
    const micro_tokens low = state.demand.rate(now) / ahead_divisor;
    if (low < one_token || state.bucket.level() >= low || now < state.denied_until || now < state.ahead_after)
        return;
    ask(entry, ahead_gap);
}

void share_client::ask(organisation_map::value_type& entry, duration gap)
{
    organisation& state = entry.second;
    const time_point now = m_timers.now();
    if (now < state.asked_until || m_keeper.empty() || m_draining)
        return;
    state.asked_until = now + gap;
    if (m_opening) {
        report_all();
        return;
    }
    messages::envelope message;
    messages::report& report = start_report(message);
    add_line(report, entry);
    number_request(report, false);
    m_owner.send(m_keeper, message);
}

messages::report& share_client::start_report(messages::envelope& message)
{
    messages::report& report = *message.mutable_report();
    report.set_group(m_group);
    report.set_epoch(m_epoch);
    report.set_incarnation(m_settings.node.incarnation);
    report.set_session(m_session);
    report.set_opening(m_opening);
    report.set_foreign(m_foreign);
    return report;
}

std::uint64_t share_client::number_request(messages::report& report, bool periodic)
{
    const std::uint64_t number = ++m_last_request;
    report.set_request(number);
    report.set_periodic(periodic);
    m_requests[number] = {m_timers.now(), periodic};
    if (m_requests.size() > max_requests)
        m_requests.erase(m_requests.begin());
    return number;
}

void share_client::add_line(messages::report& report, organisation_map::value_type& entry)
{
    organisation& state = entry.second;
    state.unreported = false;
    messages::report_line& line = *report.add_lines();
    line.set_organisation(entry.first);
    if (has_parts(state.adopted))
        write_total(state.adopted, *line.mutable_adopted());
    if (has_parts(state.returned))
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
    const micro_tokens low = demand / ahead_divisor;
    const micro_tokens ahead = low >= one_token && level < low ? 2 * low : 0;
    const micro_tokens queued = static_cast<micro_tokens>(state.waiters.size()) * one_token;
    if (queued > 0)
        line.set_needed(std::max(one_token - level, micro_tokens{0}));
    line.set_wanted(std::max({queued + ahead - level, line.needed(), micro_tokens{0}}));
    line.set_room(state.bucket.capacity() - level);
}

bool share_client::holds_anything() const
{
    return std::ranges::any_of(m_organisations, [](const auto& entry) {
        return entry.second.bucket.rate_parts() > 0 || entry.second.bucket.capacity_parts() > 0;
    });
}

/// A foreign client reports only while the keeper counts something as lent to it.
void share_client::report_if_due()
{
    expire();
    if (!m_foreign || holds_anything() || m_return_request != 0)
        report_all();
}

/// Reports everything and returns the number of the request, 0 if there is no keeper.
std::uint64_t share_client::report_all()
{
    if (m_keeper.empty())
        return 0;
    messages::envelope message;
    messages::report& report = start_report(message);
    for (auto& entry : m_organisations) {
        organisation& state = entry.second;
        const bool has_totals = has_parts(state.adopted) || has_parts(state.granted);
        const bool has_load = state.reported_demand > 0 || state.demand.rate(m_timers.now()) > 0;
        if (has_totals || has_load || !state.waiters.empty())
            add_line(report, entry);
    }
    const std::uint64_t number = number_request(report, true);
    m_owner.send(m_keeper, message);
    return number;
}

void share_client::schedule_returns()
{
    if (m_returns_timer == 0)
        m_returns_timer = m_timers.schedule(returns_delay, [this] { report_returns(); });
}

/// Tells the keeper what was returned since the last report. Needs no answer: a lost one is made up by the next report.
void share_client::report_returns()
{
    m_returns_timer = 0;
    expire();
    if (m_opening || m_keeper.empty())
        return;
    messages::envelope message;
    messages::report& report = start_report(message);
    for (auto& entry : m_organisations) {
        if (!entry.second.unreported)
            continue;
        add_line(report, entry);
        report.mutable_lines()->rbegin()->clear_wanted();
        report.mutable_lines()->rbegin()->clear_needed();
    }
    if (report.lines_size() > 0)
        m_owner.send(m_keeper, message);
}

// Leases -----------------------------------------------------------------------------------------------------------

void share_client::expire()
{
    if (!m_leased || m_timers.now() < m_lease_end)
        return;
    drop_holdings();
}

void share_client::drop_holdings()
{
    m_leased = false;
    for (auto& [name, state] : m_organisations)
        state.bucket.release();
    start_session();
}

/// Opens a session in which the keeper is to take over all that is held.
void share_client::start_session()
{
    ++m_session;
    m_opening = true;
    m_requests.clear();
    m_adopted_request = m_last_request;
    m_return_request = 0;
    for (auto& [name, state] : m_organisations) {
        state.adopted = {state.bucket.rate_parts(), state.bucket.capacity_parts(), 0};
        state.granted = {};
        state.returned = {};
        state.target = state.adopted;
        state.asked_until = {};
        state.denied_until = {};
    }
}

/// The keeper counts on a handed-over share for one grant lease, so it is not used longer without an answer.
void share_client::limit_lease(time_point end)
{
    end = std::min(end, m_timers.now() + m_settings.grant_lease);
    m_lease_end = m_leased ? std::min(m_lease_end, end) : end;
    m_leased = true;
}

void share_client::extend_lease(time_point end)
{
    const bool first = m_opening;
    m_lease_end = m_leased && !first ? std::max(m_lease_end, end) : end;
    m_leased = true;
    m_opening = false;
}

void share_client::set_keeper(const std::string& name, std::uint64_t epoch)
{
    if (epoch < m_epoch)
        return;
    if (epoch == m_epoch) {
        // Epochs have one keeper; it may stop as planned, which leaves the epoch without one.
        if (m_keeper.empty() && epoch == 0)
            m_keeper = name;
        if (name.empty())
            m_keeper.clear();
        return;
    }
    expire();
    m_epoch = epoch;
    m_keeper = name;
    m_heard = m_timers.now();
    start_session();
    if (m_leased)
        limit_lease(m_lease_end);
    // A foreign client reports once, too, to learn how far away the keeper is before it must choose one.
    m_round_trip = duration{0};
    report_all();
}

void share_client::take_over(const share_map& remaining, time_point end)
{
    expire();
    for (const auto& [name, added] : remaining) {
        organisation& state = m_organisations.try_emplace(name).first->second;
        state.bucket.advance(m_timers.now());
        state.bucket.merge(added);
        state.adopted += {added.rate, added.capacity, 0};
    }
    limit_lease(end);
    m_opening = true;
    m_adopted_request = m_last_request;
    report_all();
}

// Grants -----------------------------------------------------------------------------------------------------------

void share_client::on_grant(std::string_view from, const messages::grant& grant)
{
    expire();
    if (from != m_keeper || grant.epoch() != m_epoch || grant.incarnation() != m_settings.node.incarnation ||
        grant.session() != m_session)
        return;
    if (grant.rejected()) {
        m_heard = m_timers.now();
        drop_holdings();
        return;
    }
    bool periodic = true;
    if (grant.request() != 0) {
        const auto sent = m_requests.find(grant.request());
        if (sent == m_requests.end() || grant.request() <= m_adopted_request)
            return;
        const time_point sent_at = sent->second.sent_at;
        periodic = sent->second.periodic;
        m_heard = m_timers.now();
        m_round_trip = m_round_trip == duration{0} ? m_heard - sent_at : std::min(m_round_trip, m_heard - sent_at);
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
        if (found == m_organisations.end() || !apply_line(found->second, line))
            continue;
        if (found->second.waiters.empty()) {
            trim(found->second, periodic);
        }
        else {
            serve(*found);
        }
    }
    if (!m_foreign && grant.others_size() > 0)
        m_owner.on_keepers_listed(grant);
    if (m_drained && grant.request() >= m_drain_request)
        std::exchange(m_drained, nullptr)();
}

/// Takes over what a line grants beyond what is known. Returns false for a late or an impossible line.
bool share_client::apply_line(organisation& state, const messages::grant_line& line)
{
    const time_point now = m_timers.now();
    const share total = read_total(line.granted());
    const share added = total - state.granted;
    if (added.rate < 0 || added.capacity < 0 || added.level < 0 || added.rate > whole - state.bucket.rate_parts() ||
        added.capacity > whole - state.bucket.capacity_parts())
        return false;
    state.bucket.advance(now);
    state.bucket.merge({added.rate, added.capacity, std::min(added.level, max_burst)});
    state.granted = total;
    state.target = {std::clamp(line.target_rate(), parts{0}, whole),
                    std::clamp(line.target_capacity(), parts{0}, whole), 0};
    state.denied_until = now + std::clamp(duration{line.denied()}, duration{0}, longest_denial);
    state.asked_until = {};
    state.may_borrow = line.may_borrow();
    if (added.level == 0)
        state.ahead_after = now + ahead_pause;
    return true;
}

/// Returns what exceeds the keeper's target: capacity without tokens at any time, so that loans go back as soon as they
/// are used; the rest only when the keeper asks for it.
void share_client::trim(organisation& state, bool idle)
{
    const parts spare_rate = state.bucket.rate_parts() - state.target.rate;
    const parts spare_capacity = state.bucket.capacity_parts() - state.target.capacity;
    share excess;
    if (idle) {
        excess.rate = spare_rate > state.target.rate / 10 ? spare_rate : 0;
        excess.capacity = spare_capacity > state.target.capacity / 10 ? spare_capacity : 0;
    }
    else if (spare_capacity > 0) {
        const micro_tokens burst = state.bucket.limits().burst;
        const micro_tokens unused = state.bucket.capacity() - state.bucket.level();
        if (unused >= one_token / 2 && burst > 0)
            excess.capacity = std::min(spare_capacity, scaled(unused, whole, burst));
    }
    if (has_parts(excess))
        return_share(state, excess);
}

void share_client::return_share(organisation& state, const share& excess)
{
    state.bucket.advance(m_timers.now());
    const micro_tokens stays =
        scaled(state.bucket.limits().burst, state.bucket.capacity_parts() - excess.capacity, whole);
    const micro_tokens spare = std::max(state.bucket.level() - stays, micro_tokens{0});
    state.returned += state.bucket.split({excess.rate, excess.capacity, spare});
    state.unreported = true;
    m_return_request = m_last_request + 1;
    schedule_returns();
}

// Planned stop -----------------------------------------------------------------------------------------------------

void share_client::drain(std::function<void()> done)
{
    m_draining = true;
    m_drained = std::move(done);
    expire();
    for (auto& [name, state] : m_organisations) {
        while (!state.waiters.empty()) {
            const admit_callback refused = std::move(state.waiters.front().done);
            state.waiters.pop_front();
            refused(not_run(refusal_reason::draining));
        }
        return_share(state, {state.bucket.rate_parts(), state.bucket.capacity_parts(), 0});
    }
    m_drain_request = m_last_request + 1;
    drain_step();
}

void share_client::drain_step()
{
    m_drain_timer = 0;
    if (!m_drained)
        return;
    expire();
    report_all();
    m_drain_timer = m_timers.schedule(drain_retry, [this] { drain_step(); });
}

std::vector<organisation_status> share_client::status() const
{
    std::vector<organisation_status> result;
    const auto tokens = [](micro_tokens value) { return static_cast<double>(value) / static_cast<double>(one_token); };
    for (const auto& [name, state] : m_organisations) {
        const bool held = lease_valid();
        result.push_back({name, held ? tokens(state.bucket.rate()) : 0, held ? tokens(state.bucket.capacity()) : 0,
                          held ? tokens(state.bucket.level()) : 0, tokens(state.demand.rate(m_timers.now())),
                          state.admitted, state.refused});
    }
    return result;
}

} // namespace mulberry::shares
