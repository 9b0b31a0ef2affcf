#include "plugins/shares/sharekeeper.h"

#include "libs/base/invariant.h"
#include "libs/base/log.h"
#include "plugins/shares/poolentries.h"
#include "plugins/shares/sharetotals.h"

#include <algorithm>
#include <utility>

namespace mulberry::shares {

namespace {

/// Part of the rate that nodes hold; the rest evens out their differences through the keeper.
constexpr std::int64_t granted_percent = 85;
/// The same when the load exceeds the rate, where every token is used anyway.
constexpr std::int64_t granted_percent_overloaded = 97;
/// Upper bound of a node's rate in percent of its load.
constexpr std::int64_t rate_headroom_percent = 150;
constexpr micro_tokens least_node_capacity = 8 * one_token;
constexpr duration shortest_denial = std::chrono::milliseconds(2);
constexpr duration longest_denial = std::chrono::milliseconds(100);
/// Nodes of an organisation over its rate ask again after this time and jitter of the same length.
constexpr duration overload_denial = std::chrono::milliseconds(200);
/// Nodes of other domains are many and have other keepers to ask.
constexpr duration foreign_denial = std::chrono::milliseconds(200);

/// Least parts whose floor is the amount.
parts parts_for(micro_tokens amount, micro_tokens figure_amount)
{
    if (figure_amount <= 0)
        return 0;
    return scaled(amount, whole, figure_amount) + 1;
}

} // namespace

void share_keeper::on_report(std::string_view from, const messages::report& report)
{
    if (!m_active || report.epoch() != m_epoch)
        return redirect(from);
    expire();
    unlock_lapsed();
    if (!lease_valid())
        return;
    member* holder = open_session(from, report);
    if (holder == nullptr)
        return;
    // A node uses what it handed over for up to a whole grant lease, even if it never hears an answer.
    if (brings_more(holder->current, report)) {
        const duration needed = m_settings.grant_lease + drift_allowance(m_settings.grant_lease);
        if (m_timers.now() + needed > m_lease_end)
            return;
        holder->current.until = std::max(holder->current.until, m_timers.now() + needed);
    }
    if (!adopt_lines(holder->current, report)) {
        // What the node holds stays counted until its lease ends, because the answer may be lost.
        holder->current.closed = true;
        return reject(from, report);
    }
    messages::envelope message;
    messages::grant& answer = *message.mutable_grant();
    for (const messages::report_line& line : report.lines())
        answer_line(holder->current, line, report.foreign(), answer);
    if (report.request() == 0)
        return;
    if (report.periodic() && !report.foreign())
        list_keepers(answer);
    const time_point now = m_timers.now();
    const duration lease = std::min(m_settings.grant_lease, lease_within(m_lease_end - now));
    holder->current.until = std::max(holder->current.until, now + lease + drift_allowance(lease));
    answer.set_group(m_group);
    answer.set_epoch(m_epoch);
    answer.set_incarnation(report.incarnation());
    answer.set_session(report.session());
    answer.set_request(report.request());
    answer.set_lease(lease.count());
    m_owner.send(from, message);
}

void share_keeper::list_keepers(messages::grant& answer) const
{
    for (const messages::pool_domain& other : m_pool.document().domains()) {
        if (other.name() == m_settings.failure_domain || other.keeper().empty())
            continue;
        messages::named_keeper& named = *answer.add_others();
        named.set_domain(other.name());
        named.set_keeper(other.keeper());
        named.set_epoch(other.epoch());
    }
}

void share_keeper::redirect(std::string_view to)
{
    const messages::pool_domain* own = m_pool.domain(m_settings.failure_domain);
    if (own == nullptr)
        return;
    messages::envelope message;
    messages::keeper_change& change = *message.mutable_keeper_change();
    change.set_group(m_group);
    change.set_domain(m_settings.failure_domain);
    change.set_keeper(own->keeper());
    change.set_epoch(own->epoch());
    m_owner.send(to, message);
}

void share_keeper::reject(std::string_view to, const messages::report& report)
{
    messages::envelope message;
    messages::grant& answer = *message.mutable_grant();
    answer.set_group(m_group);
    answer.set_epoch(m_epoch);
    answer.set_incarnation(report.incarnation());
    answer.set_session(report.session());
    answer.set_request(report.request());
    answer.set_rejected(true);
    m_owner.send(to, message);
}

share_keeper::member* share_keeper::open_session(std::string_view from, const messages::report& report)
{
    member& holder = m_members.try_emplace(std::string(from)).first->second;
    session& current = holder.current;
    const auto reported = std::pair(report.incarnation(), report.session());
    const auto present = std::pair(current.incarnation, current.number);
    if (reported < present)
        return nullptr;
    if (reported == present) {
        // A new session's lease starts with the first answer, in the same call that opens it.
        if (!current.closed && m_timers.now() < current.until) {
            current.heard = m_timers.now();
            return &holder;
        }
        current.closed = true;
        reject(from, report);
        return nullptr;
    }
    if (!report.opening()) {
        reject(from, report);
        return nullptr;
    }
    // A node that opens a new session has dropped the last one; a new run proves nothing about the one before.
    if (report.incarnation() == current.incarnation) {
        reclaim(current);
    }
    else if (!current.accounts.empty()) {
        forget_demand(current);
        holder.former.push_back(std::move(current));
    }
    current = session{report.incarnation(), report.session(), m_timers.now(), m_timers.now(), false, {}};
    return &holder;
}

bool share_keeper::brings_more(const session& lent, const messages::report& report)
{
    return std::ranges::any_of(report.lines(), [&lent](const messages::report_line& line) {
        const auto entry = lent.accounts.find(line.organisation());
        const share added =
            read_total(line.adopted()) - (entry == lent.accounts.end() ? share{} : entry->second.adopted);
        return added.rate > 0 || added.capacity > 0;
    });
}

bool share_keeper::adopt_lines(session& lent, const messages::report& report)
{
    for (const messages::report_line& line : report.lines()) {
        const auto known = m_kept.find(line.organisation());
        const auto entry = lent.accounts.find(line.organisation());
        const share before = entry == lent.accounts.end() ? share{} : entry->second.adopted;
        const share added = read_total(line.adopted()) - before;
        if (added.rate <= 0 && added.capacity <= 0)
            continue;
        if (known == m_kept.end() || added.rate > known->second.locked_rate ||
            added.capacity > known->second.locked_capacity)
            return false;
    }
    for (const messages::report_line& line : report.lines()) {
        const auto known = m_kept.find(line.organisation());
        if (known == m_kept.end())
            continue;
        account& entry = lent.accounts[line.organisation()];
        share added = read_total(line.adopted()) - entry.adopted;
        if (added.rate < 0 || added.capacity < 0)
            continue;
        added.level = 0;
        entry.adopted += added;
        known->second.lent += added;
        known->second.locked_rate -= added.rate;
        known->second.locked_capacity -= added.capacity;
    }
    return true;
}

void share_keeper::apply_returns(account& entry, kept& state, const messages::report_line& line)
{
    const share added = read_total(line.returned()) - entry.returned;
    const share held = entry.outstanding();
    const bool late = added.rate < 0 || added.capacity < 0 || added.level < 0;
    if (late || added.rate > held.rate || added.capacity > held.capacity)
        return;
    entry.returned += added;
    state.lent -= added;
    state.free.merge({added.rate, added.capacity, std::min(added.level, state.free.limits().burst)});
}

share share_keeper::target_for(const kept& state, const account& entry)
{
    const figure& limits = state.free.limits();
    const parts usable = std::min(state.usable(), state.aim);
    const micro_tokens usable_rate = scaled(limits.rate, usable, whole);
    if (entry.demand <= 0 || state.demand <= 0 || usable <= 0)
        return {};
    const bool overloaded = state.demand > usable_rate;
    const std::int64_t percent = overloaded ? granted_percent_overloaded : granted_percent;
    const micro_tokens rate = std::min(scaled(usable_rate / 100 * percent, entry.demand, state.demand),
                                       entry.demand / 100 * rate_headroom_percent);
    const micro_tokens capacity = std::min(scaled(scaled(limits.burst, usable, whole) / 2, entry.demand, state.demand),
                                           std::max(least_node_capacity, entry.demand));
    // A small bucket is often full, and then loses what arrives; such a node borrows from the keeper instead.
    if (capacity < least_node_capacity)
        return {};
    return {parts_for(rate, limits.rate), parts_for(capacity, limits.burst), 0};
}

void share_keeper::answer_line(session& lent, const messages::report_line& line, bool foreign, messages::grant& answer)
{
    const auto known = m_kept.find(line.organisation());
    if (known == m_kept.end())
        return;
    kept& state = known->second;
    state.free.advance(m_timers.now());
    account& entry = lent.accounts[line.organisation()];
    apply_returns(entry, state, line);
    const micro_tokens demand = foreign ? 0 : std::clamp(line.demand(), micro_tokens{0}, 10 * max_rate);
    state.demand += demand - entry.demand;
    entry.demand = demand;

    const share target = target_for(state, entry);
    const share held = entry.outstanding();
    share given;
    // Small corrections are left out, because each would change the totals in every answer.
    if (target.rate - held.rate > target.rate / 20)
        given.rate = std::min(target.rate - held.rate, state.free.rate_parts());
    if (target.capacity - held.capacity > target.capacity / 20)
        given.capacity = std::min(target.capacity - held.capacity, state.free.capacity_parts());
    if (given.capacity > 0)
        given.level = scaled(state.free.level(), given.capacity, state.free.capacity_parts());
    given = state.free.split(given);
    const duration denied = line.wanted() > 0 ? grant_tokens(state, line, foreign, given) : duration{0};
    entry.granted += given;
    state.lent += given;
    check_sums(state);

    messages::grant_line& result = *answer.add_lines();
    result.set_organisation(line.organisation());
    write_total(entry.granted, *result.mutable_granted());
    result.set_target_rate(target.rate);
    result.set_target_capacity(target.capacity);
    result.set_denied(denied.count());
    if (denied > duration{0})
        result.set_may_borrow(!foreign && !fleet_overloaded(line.organisation(), state));
}

void share_keeper::check_sums(const kept& state)
{
    const share sum =
        state.lent + state.releasing +
        share{state.free.rate_parts() + state.locked_rate, state.free.capacity_parts() + state.locked_capacity, 0};
    const bool holds = sum.rate <= state.total && sum.capacity <= state.total && state.free.level() >= 0;
    invariant_monitor::instance().check(holds, invariant::rate_bounded, "a keeper granted more than it holds");
}

/// Adds the tokens that a node asks for, and capacity for those that do not fit. Returns how long the node should not
/// ask again, zero if it got what it needs.
duration share_keeper::grant_tokens(kept& state, const messages::report_line& line, bool foreign, share& given)
{
    const figure& limits = state.free.limits();
    const micro_tokens needed = std::clamp(line.needed(), micro_tokens{0}, max_burst);
    const micro_tokens wanted = std::clamp(line.wanted(), needed, max_burst);
    const micro_tokens kept_back = needed > 0 ? 0 : state.free.capacity() / 4;
    micro_tokens amount = std::min(wanted - given.level, std::max(state.free.level() - kept_back, micro_tokens{0}));
    const micro_tokens room =
        std::clamp(line.room(), micro_tokens{0}, max_burst) + scaled(limits.burst, given.capacity, whole) - given.level;
    parts lent = 0;
    if (amount > room && needed > 0)
        lent = std::min(parts_for(amount - room, limits.burst), state.free.capacity_parts());
    amount = std::min(amount, room + scaled(limits.burst, lent, whole));
    if (amount + given.level < needed)
        return foreign ? foreign_denial : denial(line.organisation(), state, needed);
    if (amount <= 0)
        return duration{0};
    state.free.take(amount);
    given += state.free.split({0, lent, 0});
    given.level += amount;
    return duration{0};
}

/// Whether the load of all domains exceeds the rate, the others' as the pool document has it.
bool share_keeper::fleet_overloaded(const std::string& name, const kept& state) const
{
    micro_tokens sum = state.demand;
    for (const messages::pool_domain& other : m_pool.document().domains()) {
        const messages::pool_entry* entry = entry_in(&other, name);
        if (entry != nullptr && other.name() != m_settings.failure_domain)
            sum += entry->demand();
    }
    // The estimate of a small load is off by more than a quarter at times; three requests a second cover that.
    const micro_tokens rate = state.free.limits().rate;
    return sum > rate + std::max(rate / 4, 3 * one_token);
}

duration share_keeper::denial(const std::string& name, const kept& state, micro_tokens needed)
{
    if (!fleet_overloaded(name, state))
        return std::clamp(state.free.time_until(needed), shortest_denial, longest_denial);
    const auto bound = static_cast<std::uint64_t>(overload_denial.count());
    return overload_denial + duration{static_cast<std::int64_t>(m_random.uniform(bound))};
}

} // namespace mulberry::shares
