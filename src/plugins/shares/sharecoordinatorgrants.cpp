#include "plugins/shares/sharecoordinator.h"

#include "libs/base/invariant.h"
#include "libs/base/log.h"
#include "plugins/shares/poolentries.h"
#include "plugins/shares/sharetotals.h"

#include <algorithm>
#include <utility>

namespace mulberry::shares {

namespace {

/// Percentage of the rate that is granted to nodes in advance. The coordinator uses the rest to balance differences
/// between nodes.
constexpr std::int64_t granted_percent = 85;
/// The same if the load exceeds the rate, when every token is used anyway.
constexpr std::int64_t granted_percent_overloaded = 97;
/// Upper bound of a node's rate in percent of its load.
constexpr std::int64_t rate_headroom_percent = 150;
constexpr micro_tokens min_node_capacity = 8 * one_token;
constexpr duration min_denial = std::chrono::milliseconds(2);
constexpr duration max_denial = std::chrono::milliseconds(100);
/// Nodes of an organisation that is above its rate request tokens again after this time plus jitter of the same length.
constexpr duration overload_denial = std::chrono::milliseconds(200);
/// Nodes of other domains request tokens again after this time, because they are numerous and can use other
/// coordinators.
constexpr duration remote_denial = std::chrono::milliseconds(200);

/// Number of share units that amounts to at least the given amount after rounding down.
share_units units_for(micro_tokens amount, micro_tokens limit_amount)
{
    if (limit_amount <= 0)
        return 0;
    return scaled(amount, full_share, limit_amount) + 1;
}

} // namespace

void share_coordinator::on_report(std::string_view from, const messages::report& report)
{
    if (!m_active || report.epoch() != m_epoch)
        return redirect(from);
    check_lease_expiry();
    unlock_expired();
    if (!is_lease_valid())
        return;
    node_sessions* node = open_session(from, report);
    if (node == nullptr)
        return;
    // A node uses adopted shares for up to a full grant lease, even if it never receives a response.
    if (increases_adopted(node->current_session, report)) {
        const duration needed = m_settings.grant_lease + drift_allowance(m_settings.grant_lease);
        if (m_timers.now() + needed > m_lease_end)
            return;
        node->current_session.lease_end = std::max(node->current_session.lease_end, m_timers.now() + needed);
    }
    if (!adopt_lines(node->current_session, report)) {
        // The node's holdings remain counted until its lease expires, because the response may be lost.
        node->current_session.is_closed = true;
        return reject(from, report);
    }
    messages::envelope message;
    messages::grant& response = *message.mutable_grant();
    for (const messages::report_line& line : report.lines())
        add_grant_line(node->current_session, line, report.foreign(), response);
    if (report.request() == 0)
        return;
    if (report.periodic() && !report.foreign())
        add_other_coordinators(response);
    const time_point now = m_timers.now();
    const duration lease = std::min(m_settings.grant_lease, lease_within(m_lease_end - now));
    node->current_session.lease_end = std::max(node->current_session.lease_end, now + lease + drift_allowance(lease));
    response.set_group(m_group);
    response.set_epoch(m_epoch);
    response.set_incarnation(report.incarnation());
    response.set_session(report.session());
    response.set_request(report.request());
    response.set_lease(lease.count());
    m_owner.send(from, message);
}

void share_coordinator::add_other_coordinators(messages::grant& response) const
{
    for (const messages::pool_domain& other : m_pool.document().domains()) {
        if (other.name() == m_settings.failure_domain || other.keeper().empty())
            continue;
        messages::named_keeper& named = *response.add_others();
        named.set_domain(other.name());
        named.set_keeper(other.keeper());
        named.set_epoch(other.epoch());
    }
}

void share_coordinator::redirect(std::string_view to)
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

void share_coordinator::reject(std::string_view to, const messages::report& report)
{
    messages::envelope message;
    messages::grant& response = *message.mutable_grant();
    response.set_group(m_group);
    response.set_epoch(m_epoch);
    response.set_incarnation(report.incarnation());
    response.set_session(report.session());
    response.set_request(report.request());
    response.set_rejected(true);
    m_owner.send(to, message);
}

share_coordinator::node_sessions* share_coordinator::open_session(std::string_view from, const messages::report& report)
{
    node_sessions& node = m_node_sessions.try_emplace(std::string(from)).first->second;
    lease_session& current = node.current_session;
    const auto reported_id = std::pair(report.incarnation(), report.session());
    const auto current_id = std::pair(current.incarnation, current.number);
    if (reported_id < current_id)
        return nullptr;
    if (reported_id == current_id) {
        // The lease of a new session starts with the first response, in the same call that opens the session.
        if (!current.is_closed && m_timers.now() < current.lease_end) {
            current.last_report_at = m_timers.now();
            return &node;
        }
        current.is_closed = true;
        reject(from, report);
        return nullptr;
    }
    if (!report.opening()) {
        reject(from, report);
        return nullptr;
    }
    // A node that opens a new session has dropped the previous one. A new incarnation gives no such certainty about the
    // session of the previous incarnation.
    if (report.incarnation() == current.incarnation) {
        reclaim(current);
    }
    else if (!current.holdings.empty()) {
        remove_demand(current);
        node.former_sessions.push_back(std::move(current));
    }
    current = lease_session{report.incarnation(), report.session(), m_timers.now(), m_timers.now(), false, {}};
    return &node;
}

bool share_coordinator::increases_adopted(const lease_session& session, const messages::report& report)
{
    return std::ranges::any_of(report.lines(), [&session](const messages::report_line& line) {
        const auto entry = session.holdings.find(line.organisation());
        const share added =
            read_total(line.adopted()) - (entry == session.holdings.end() ? share{} : entry->second.adopted);
        return added.rate > 0 || added.capacity > 0;
    });
}

bool share_coordinator::adopt_lines(lease_session& session, const messages::report& report)
{
    for (const messages::report_line& line : report.lines()) {
        const auto found = m_organisations.find(line.organisation());
        const auto entry = session.holdings.find(line.organisation());
        const share before = entry == session.holdings.end() ? share{} : entry->second.adopted;
        const share added = read_total(line.adopted()) - before;
        if (added.rate <= 0 && added.capacity <= 0)
            continue;
        if (found == m_organisations.end() || added.rate > found->second.locked_rate ||
            added.capacity > found->second.locked_capacity)
            return false;
    }
    for (const messages::report_line& line : report.lines()) {
        const auto found = m_organisations.find(line.organisation());
        if (found == m_organisations.end())
            continue;
        node_holdings& entry = session.holdings[line.organisation()];
        share added = read_total(line.adopted()) - entry.adopted;
        if (added.rate < 0 || added.capacity < 0)
            continue;
        added.level = 0;
        entry.adopted += added;
        found->second.leased_share += added;
        found->second.locked_rate -= added.rate;
        found->second.locked_capacity -= added.capacity;
    }
    return true;
}

void share_coordinator::apply_returns(node_holdings& entry, organisation_state& state,
                                      const messages::report_line& line)
{
    const share added = read_total(line.returned()) - entry.returned;
    const share outstanding_share = entry.outstanding();
    const bool is_stale = added.rate < 0 || added.capacity < 0 || added.level < 0;
    if (is_stale || added.rate > outstanding_share.rate || added.capacity > outstanding_share.capacity)
        return;
    entry.returned += added;
    state.leased_share -= added;
    state.free_bucket.merge({added.rate, added.capacity, std::min(added.level, state.free_bucket.limits().burst)});
}

share share_coordinator::target_for(const organisation_state& state, const node_holdings& entry)
{
    const rate_limit& limits = state.free_bucket.limits();
    const share_units usable_units = std::min(state.usable_units(), state.usable_target);
    const micro_tokens usable_rate = scaled(limits.rate, usable_units, full_share);
    if (entry.demand <= 0 || state.demand <= 0 || usable_units <= 0)
        return {};
    const bool overloaded = state.demand > usable_rate;
    const std::int64_t percent = overloaded ? granted_percent_overloaded : granted_percent;
    const micro_tokens rate = std::min(scaled(usable_rate / 100 * percent, entry.demand, state.demand),
                                       entry.demand / 100 * rate_headroom_percent);
    const micro_tokens capacity =
        std::min(scaled(scaled(limits.burst, usable_units, full_share) / 2, entry.demand, state.demand),
                 std::max(min_node_capacity, entry.demand));
    // A small bucket is often full and then loses the tokens that accrue; such a node leases tokens from the
    // coordinator instead.
    if (capacity < min_node_capacity)
        return {};
    return {units_for(rate, limits.rate), units_for(capacity, limits.burst), 0};
}

void share_coordinator::add_grant_line(lease_session& session, const messages::report_line& line, bool remote,
                                       messages::grant& response)
{
    const auto found = m_organisations.find(line.organisation());
    if (found == m_organisations.end())
        return;
    organisation_state& state = found->second;
    state.free_bucket.advance(m_timers.now());
    node_holdings& entry = session.holdings[line.organisation()];
    apply_returns(entry, state, line);
    const micro_tokens demand = remote ? 0 : std::clamp(line.demand(), micro_tokens{0}, 10 * max_rate);
    state.demand += demand - entry.demand;
    entry.demand = demand;

    const share target = target_for(state, entry);
    const share outstanding_share = entry.outstanding();
    share new_share;
    // Corrections below 5% of the target are omitted, because each would change the totals in every response.
    if (target.rate - outstanding_share.rate > target.rate / 20)
        new_share.rate = std::min(target.rate - outstanding_share.rate, state.free_bucket.rate_units());
    if (target.capacity - outstanding_share.capacity > target.capacity / 20)
        new_share.capacity = std::min(target.capacity - outstanding_share.capacity, state.free_bucket.capacity_units());
    if (new_share.capacity > 0)
        new_share.level = scaled(state.free_bucket.level(), new_share.capacity, state.free_bucket.capacity_units());
    new_share = state.free_bucket.split(new_share);
    const duration denied = line.wanted() > 0 ? grant_tokens(state, line, remote, new_share) : duration{0};
    entry.granted += new_share;
    state.leased_share += new_share;
    check_sums(state);

    messages::grant_line& result = *response.add_lines();
    result.set_organisation(line.organisation());
    write_total(entry.granted, *result.mutable_granted());
    result.set_target_rate(target.rate);
    result.set_target_capacity(target.capacity);
    result.set_denied(denied.count());
    if (denied > duration{0})
        result.set_may_borrow(!remote && !is_fleet_overloaded(line.organisation(), state));
}

void share_coordinator::check_sums(const organisation_state& state)
{
    const share sum = state.leased_share + state.pending_release +
                      share{state.free_bucket.rate_units() + state.locked_rate,
                            state.free_bucket.capacity_units() + state.locked_capacity, 0};
    const bool holds =
        sum.rate <= state.confirmed_units && sum.capacity <= state.confirmed_units && state.free_bucket.level() >= 0;
    invariant_monitor::instance().check(holds, invariant::rate_bounded,
                                        "a share coordinator granted more than it holds");
}

/// Adds the tokens that a node requests, and capacity for those that do not fit into its bucket. Returns the time for
/// which the node should not repeat the request; zero if it gets what it needs.
duration share_coordinator::grant_tokens(organisation_state& state, const messages::report_line& line, bool remote,
                                         share& new_share)
{
    const rate_limit& limits = state.free_bucket.limits();
    const micro_tokens needed = std::clamp(line.needed(), micro_tokens{0}, max_burst);
    const micro_tokens requested = std::clamp(line.wanted(), needed, max_burst);
    const micro_tokens token_reserve = needed > 0 ? 0 : state.free_bucket.capacity() / 4;
    micro_tokens amount =
        std::min(requested - new_share.level, std::max(state.free_bucket.level() - token_reserve, micro_tokens{0}));
    const micro_tokens free_capacity = std::clamp(line.room(), micro_tokens{0}, max_burst) +
                                       scaled(limits.burst, new_share.capacity, full_share) - new_share.level;
    share_units leased_capacity = 0;
    if (amount > free_capacity && needed > 0)
        leased_capacity = std::min(units_for(amount - free_capacity, limits.burst), state.free_bucket.capacity_units());
    amount = std::min(amount, free_capacity + scaled(limits.burst, leased_capacity, full_share));
    if (amount + new_share.level < needed)
        return remote ? remote_denial : denial_duration(line.organisation(), state, needed);
    if (amount <= 0)
        return duration{0};
    state.free_bucket.take(amount);
    new_share += state.free_bucket.split({0, leased_capacity, 0});
    new_share.level += amount;
    return duration{0};
}

/// Whether the load of all domains exceeds the rate. The load of other domains is taken from the pool document.
bool share_coordinator::is_fleet_overloaded(const std::string& name, const organisation_state& state) const
{
    micro_tokens sum = state.demand;
    for (const messages::pool_domain& other : m_pool.document().domains()) {
        const messages::pool_entry* entry = find_entry(&other, name);
        if (entry != nullptr && other.name() != m_settings.failure_domain)
            sum += entry->demand();
    }
    // The estimate of a small load can be off by more than a quarter; a margin of three requests per second covers
    // that.
    const micro_tokens rate = state.free_bucket.limits().rate;
    return sum > rate + std::max(rate / 4, 3 * one_token);
}

duration share_coordinator::denial_duration(const std::string& name, const organisation_state& state,
                                            micro_tokens needed)
{
    if (!is_fleet_overloaded(name, state))
        return std::clamp(state.free_bucket.time_until(needed), min_denial, max_denial);
    const auto bound = static_cast<std::uint64_t>(overload_denial.count());
    return overload_denial + duration{static_cast<std::int64_t>(m_random.uniform(bound))};
}

} // namespace mulberry::shares
