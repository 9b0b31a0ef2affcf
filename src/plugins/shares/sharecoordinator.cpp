#include "plugins/shares/sharecoordinator.h"

#include "libs/base/invariant.h"
#include "libs/base/log.h"
#include "plugins/shares/domaintargets.h"
#include "plugins/shares/poolentries.h"
#include "plugins/shares/sharetotals.h"

#include <algorithm>
#include <utility>

namespace mulberry::shares {

namespace {

constexpr duration tick_interval = std::chrono::seconds(1);
/// Minimum interval between unscheduled writes. Each write doubles the interval, up to the maximum; it is reset after a
/// period without unscheduled writes.
constexpr duration min_unscheduled_gap = std::chrono::milliseconds(250);
constexpr duration max_unscheduled_gap = std::chrono::seconds(10);
constexpr duration unscheduled_gap_reset = std::chrono::seconds(30);
constexpr duration return_request_gap = std::chrono::seconds(2);
/// Smaller differences, in share units, do not justify a store call.
constexpr share_units claim_hysteresis = full_share / 200;
constexpr share_units release_hysteresis = full_share / 100;
/// A domain is overloaded if its load exceeds 100/115 of its rate.
constexpr std::int64_t overload_percent = 115;
/// An unscheduled write corrects the load in the document if it differs by more than this percentage.
constexpr std::int64_t publish_error_percent = 30;

} // namespace

share_units share_coordinator::organisation_state::usable_units() const
{
    return confirmed_units - std::max(locked_rate, locked_capacity);
}

share_coordinator::share_coordinator(const share_settings& settings, std::uint32_t group, timer_service& timers,
                                     random_source& random, key_value_store& store, coordinator_owner& owner)
    : m_settings(settings), m_group(group), m_timers(timers), m_random(random), m_owner(owner),
      m_pool(settings, fmt::format("shares/{}", group), timers, random, store, *this),
      m_tick_timer(timers, tick_interval, [this] { tick(); })
{
}

share_coordinator::organisation_state& share_coordinator::find_or_add_organisation(std::string_view name)
{
    const auto found = m_organisations.find(name);
    if (found != m_organisations.end())
        return found->second;
    organisation_state& added = m_organisations[std::string(name)];
    const auto limits = m_limits.find(name);
    added.free_bucket = token_bucket(limits == m_limits.end() ? rate_limit{} : limits->second, m_timers.now());
    return added;
}

void share_coordinator::set_limits(std::string_view organisation_name, rate_limit limits)
{
    m_limits.insert_or_assign(std::string(organisation_name), limits);
    if (!m_active)
        return;
    token_bucket& free_bucket = find_or_add_organisation(organisation_name).free_bucket;
    free_bucket.advance(m_timers.now());
    free_bucket.set_limits(limits);
}

bool share_coordinator::names_this_node(const messages::pool_domain* own) const
{
    return own != nullptr && own->keeper() == m_settings.node.name &&
           own->keeper_incarnation() == m_settings.node.incarnation && own->epoch() == m_epoch;
}

bool share_coordinator::is_renewal_overdue() const
{
    const duration unchanged = m_timers.now() - m_pool.unchanged_since(m_settings.failure_domain);
    return unchanged > m_settings.pool_renewal * 5 / 2;
}

/// Whether no coordinator is named, or the named one is an earlier incarnation of this node.
bool share_coordinator::is_vacant(const messages::pool_domain& own) const
{
    return own.keeper().empty() ||
           (own.keeper() == m_settings.node.name && own.keeper_incarnation() < m_settings.node.incarnation);
}

void share_coordinator::replace(std::uint64_t epoch)
{
    if (m_active)
        return;
    m_replaced_epoch = epoch;
    m_replace_only_if_stale = false;
    m_pool.refresh();
}

void share_coordinator::replace_if_stale(std::uint64_t epoch)
{
    replace(epoch);
    m_replace_only_if_stale = m_replaced_epoch.has_value();
}

void share_coordinator::resign()
{
    if (!m_active)
        return m_owner.on_resigned();
    m_resigning = true;
    m_pool.write();
}

void share_coordinator::on_pool_unreachable()
{
    m_replaced_epoch.reset();
}

void share_coordinator::on_pool_changed()
{
    const messages::pool_domain* own = m_pool.domain(m_settings.failure_domain);
    if (m_active) {
        if (names_this_node(own))
            return review();
        const bool resigned = m_resigning && own != nullptr && own->keeper().empty() && own->epoch() == m_epoch;
        return resigned ? void() : lose_role();
    }
    if (m_taking_over)
        return;
    const std::uint64_t epoch = own == nullptr ? 0 : own->epoch();
    const bool vacant = own == nullptr || is_vacant(*own);
    const bool incumbent_alive = m_replace_only_if_stale && !vacant && !is_renewal_overdue();
    if (m_replaced_epoch && !incumbent_alive && (vacant || *m_replaced_epoch == epoch))
        return m_pool.write();
    m_replaced_epoch.reset();
    m_owner.on_coordinator_named(vacant ? std::string() : own->keeper(), epoch);
}

void share_coordinator::lose_role()
{
    const messages::pool_domain* own = m_pool.domain(m_settings.failure_domain);
    log_info("shares", "Group {}: the coordinator role moved from {} to {}.", m_group, m_settings.node.name,
             own == nullptr ? "nobody" : own->keeper());
    share_map remaining;
    if (is_lease_valid()) {
        for (auto& [name, state] : m_organisations) {
            state.free_bucket.advance(m_timers.now());
            remaining[name] = state.free_bucket.release();
        }
    }
    m_active = false;
    m_organisations.clear();
    m_node_sessions.clear();
    m_pool.set_watching(false);
    if (own != nullptr && own->keeper() != m_settings.node.name)
        m_owner.on_coordinator_named(own->keeper(), own->epoch());
    m_owner.on_role_lost(remaining, m_lease_end);
}

bool share_coordinator::prepare_write(messages::pool_document& document)
{
    messages::pool_domain& own = find_or_add_domain(document, m_settings.failure_domain);
    if (!m_active)
        return m_replaced_epoch && prepare_takeover(document, own);
    if (!names_this_node(&own))
        return false;
    if (m_resigning) {
        prepare_resignation(own);
        return true;
    }
    if (!m_unscheduled_write_pending && m_timers.now() < m_next_renewal)
        return false;
    m_unscheduled_write_pending = false;
    m_next_renewal = m_timers.now() + m_settings.pool_renewal;
    prepare_entries(document, own);
    return true;
}

bool share_coordinator::prepare_takeover(messages::pool_document& document, messages::pool_domain& own)
{
    if (!is_vacant(own) && *m_replaced_epoch != own.epoch()) {
        m_replaced_epoch.reset();
        return false;
    }
    m_taking_over = true;
    const bool lease_expired = m_pool.domain(own.name()) == nullptr || m_pool.is_lease_expired(own.name());
    m_unlock_at = lease_expired ? m_timers.now()
                                : m_pool.unchanged_since(own.name()) + m_settings.pool_lease +
                                      drift_allowance(m_settings.pool_lease);
    m_predecessor_shares.clear();
    for (messages::pool_entry& entry : *own.mutable_entries()) {
        m_predecessor_shares[entry.organisation()] =
            lease_expired ? share{entry.parts(), entry.parts(), 0} : share{entry.left_rate(), entry.left_capacity(), 0};
        entry.clear_left_rate();
        entry.clear_left_capacity();
    }
    own.set_keeper(m_settings.node.name);
    own.set_keeper_incarnation(m_settings.node.incarnation);
    own.set_epoch(own.epoch() + 1);
    release_expired_domains(document);
    return true;
}

void share_coordinator::prepare_resignation(messages::pool_domain& own)
{
    own.clear_keeper();
    own.clear_keeper_incarnation();
    if (!is_lease_valid())
        return;
    for (auto& [name, state] : m_organisations) {
        state.pending_release = state.free_bucket.release();
        messages::pool_entry& entry = find_or_add_entry(own, name);
        entry.set_left_rate(state.pending_release.rate);
        entry.set_left_capacity(state.pending_release.capacity);
    }
}

void share_coordinator::release_expired_domains(messages::pool_document& document) const
{
    const std::vector<std::string> listed = m_settings.failure_domains();
    for (messages::pool_domain& other : *document.mutable_domains()) {
        if (other.name() == m_settings.failure_domain || !m_pool.is_lease_expired(other.name()))
            continue;
        const bool is_listed = std::ranges::find(listed, other.name()) != listed.end();
        for (messages::pool_entry& entry : *other.mutable_entries()) {
            const auto limits = m_limits.find(entry.organisation());
            const bool has_floor = is_listed && limits != m_limits.end();
            const share_units floor = has_floor ? domain_floor(limits->second, listed.size()) : 0;
            entry.set_parts(std::min(entry.parts(), floor));
            entry.clear_locked();
            entry.clear_demand();
            entry.clear_is_short();
            entry.clear_left_rate();
            entry.clear_left_capacity();
        }
    }
}

void share_coordinator::prepare_entries(messages::pool_document& document, messages::pool_domain& own)
{
    release_expired_domains(document);
    for (const auto& [name, limits] : m_limits)
        find_or_add_organisation(name);
    for (auto& [name, state] : m_organisations) {
        state.free_bucket.advance(m_timers.now());
        messages::pool_entry& entry = find_or_add_entry(own, name);
        const domain_plan plan = plan_domain_share(document, name, state);
        const share_units missing =
            std::min(plan.target - state.usable_units(), claimable_units(document, name, state));
        // A coordinator whose lease has expired renews it first; afterwards it holds the share given in the document.
        if (is_lease_valid() && missing >= claim_hysteresis) {
            entry.set_parts(state.confirmed_units + missing);
        }
        else if (is_lease_valid() && releasable_units(state, plan.target) >= release_threshold(state)) {
            const share_units released = releasable_units(state, plan.target);
            state.pending_release = state.free_bucket.split(
                {released, released, scaled(state.free_bucket.level(), released, state.free_bucket.capacity_units())});
            entry.set_parts(state.confirmed_units - released);
        }
        entry.set_locked(std::max(state.locked_rate, state.locked_capacity));
        entry.set_demand(state.demand);
        entry.set_is_short(is_overloaded(state));
    }
}

void share_coordinator::on_write_resolved(bool applied, time_point sent_at)
{
    const messages::pool_domain* own = m_pool.domain(m_settings.failure_domain);
    if (m_taking_over) {
        m_taking_over = false;
        m_replaced_epoch.reset();
        // A successor may have been named before the response arrived.
        if (applied && own != nullptr && own->keeper() == m_settings.node.name &&
            own->keeper_incarnation() == m_settings.node.incarnation)
            finish_takeover(*own, sent_at);
        return;
    }
    if (!m_active)
        return;
    if (!applied) {
        // If a successor is named, the write may have taken effect before that.
        if (names_this_node(own))
            restore_pending_release();
        m_unscheduled_write_pending = true;
        return;
    }
    if (m_resigning) {
        m_active = false;
        m_organisations.clear();
        m_pool.set_watching(false);
        for (const auto& [name, node] : m_node_sessions)
            redirect(name);
        m_node_sessions.clear();
        return m_owner.on_resigned();
    }
    m_confirmed_at = sent_at;
    check_lease_expiry();
    m_lease_end = sent_at + m_settings.pool_lease;
    if (names_this_node(own) && m_timers.now() < m_lease_end)
        finish_renewal(*own);
}

void share_coordinator::restore_pending_release()
{
    for (auto& [name, state] : m_organisations) {
        state.free_bucket.merge(state.pending_release);
        state.pending_release = {};
    }
}

void share_coordinator::finish_takeover(const messages::pool_domain& own, time_point sent_at)
{
    log_info("shares", "Group {}: {} is the share coordinator of {}, epoch {}.", m_group, to_string(m_settings.node),
             own.name(), own.epoch());
    m_active = true;
    m_epoch = own.epoch();
    m_confirmed_at = sent_at;
    m_lease_end = sent_at + m_settings.pool_lease;
    m_next_renewal = m_timers.now() + m_settings.pool_renewal;
    m_holds_entry = true;
    m_organisations.clear();
    m_node_sessions.clear();
    for (const messages::pool_entry& entry : own.entries()) {
        organisation_state& state = find_or_add_organisation(entry.organisation());
        state.confirmed_units = entry.parts();
        const share& predecessor_share = m_predecessor_shares[entry.organisation()];
        state.locked_rate = entry.parts() - predecessor_share.rate;
        state.locked_capacity = entry.parts() - predecessor_share.capacity;
        state.free_bucket.merge(predecessor_share);
    }
    m_predecessor_shares.clear();
    m_pool.set_watching(true);
    m_owner.on_coordinator_named(m_settings.node.name, m_epoch);
}

void share_coordinator::finish_renewal(const messages::pool_domain& own)
{
    for (const messages::pool_entry& entry : own.entries()) {
        organisation_state& state = find_or_add_organisation(entry.organisation());
        state.free_bucket.advance(m_timers.now());
        const share_units before = state.confirmed_units - state.pending_release.rate;
        const share_units increase = entry.parts() - before;
        invariant_monitor::instance().check(increase >= 0, invariant::rate_bounded,
                                            "a renewal confirmed less than the coordinator holds");
        state.free_bucket.merge({increase, increase, 0});
        state.confirmed_units = entry.parts();
        state.pending_release = {};
    }
    m_holds_entry = true;
}

void share_coordinator::tick()
{
    if (!m_active)
        return;
    check_lease_expiry();
    unlock_expired();
    reclaim_expired();
    review();
}

/// Drops all state once the coordinator's own lease has expired: other domains may take the entry, and every grant that
/// depended on the lease has expired as well.
void share_coordinator::check_lease_expiry()
{
    if (!m_active || !m_holds_entry || m_timers.now() < m_lease_end)
        return;
    log_warning("shares", "Group {}: the lease on the pool entry of {} has expired.", m_group,
                m_settings.failure_domain);
    m_holds_entry = false;
    m_organisations.clear();
    for (auto& [name, node] : m_node_sessions) {
        node.former_sessions.clear();
        node.current_session.holdings.clear();
        node.current_session.is_closed = true;
    }
}

void share_coordinator::unlock_expired()
{
    if (!is_lease_valid() || m_timers.now() < m_unlock_at)
        return;
    for (auto& [name, state] : m_organisations) {
        state.free_bucket.merge({state.locked_rate, state.locked_capacity, 0});
        state.locked_rate = 0;
        state.locked_capacity = 0;
    }
}

/// An expired grant is reused only after a write that was sent later has been confirmed. Before that, a successor may
/// have been named that has adopted the node's grant.
void share_coordinator::reclaim_expired()
{
    if (!is_lease_valid())
        return;
    const auto has_expired = [this](const lease_session& session) { return m_confirmed_at >= session.lease_end; };
    for (auto& [name, node] : m_node_sessions) {
        if (m_timers.now() - node.current_session.last_report_at > 3 * m_settings.report_interval)
            remove_demand(node.current_session);
        if (has_expired(node.current_session) && !node.current_session.holdings.empty())
            reclaim(node.current_session);
        for (lease_session& former : node.former_sessions) {
            if (has_expired(former))
                reclaim(former);
        }
        std::erase_if(node.former_sessions, [](const lease_session& former) { return former.holdings.empty(); });
    }
}

void share_coordinator::remove_demand(lease_session& session)
{
    for (auto& [name, entry] : session.holdings)
        find_or_add_organisation(name).demand -= std::exchange(entry.demand, 0);
}

void share_coordinator::reclaim(lease_session& session)
{
    remove_demand(session);
    for (const auto& [name, entry] : session.holdings) {
        organisation_state& state = find_or_add_organisation(name);
        const share outstanding = entry.outstanding();
        state.leased_share -= outstanding;
        state.free_bucket.merge({outstanding.rate, outstanding.capacity, 0});
    }
    session.holdings.clear();
    session.is_closed = true;
}

bool share_coordinator::is_overloaded(const organisation_state& state)
{
    const micro_tokens usable_rate = scaled(state.free_bucket.limits().rate, state.usable_units(), full_share);
    return state.demand > 0 && state.demand / 100 * overload_percent > usable_rate;
}

share_units share_coordinator::release_threshold(const organisation_state& state)
{
    return std::max(release_hysteresis, state.confirmed_units / 20);
}

share_units share_coordinator::releasable_units(const organisation_state& state, share_units target)
{
    return std::min(
        {state.usable_units() - target, state.free_bucket.rate_units(), state.free_bucket.capacity_units()});
}

share_coordinator::domain_plan share_coordinator::plan_domain_share(const messages::pool_document& document,
                                                                    const std::string& name,
                                                                    const organisation_state& state) const
{
    std::map<std::string, domain_demand> demands;
    std::map<std::string, const messages::pool_entry*> entries;
    for (const std::string& listed : m_settings.failure_domains())
        demands[listed];
    demands[m_settings.failure_domain] = {state.demand, std::max(state.locked_rate, state.locked_capacity)};
    for (const messages::pool_domain& other : document.domains()) {
        const messages::pool_entry* entry = find_entry(&other, name);
        if (entry == nullptr || other.name() == m_settings.failure_domain)
            continue;
        demands[other.name()] = {entry->demand(), entry->locked()};
        entries[other.name()] = entry;
    }
    domain_plan result;
    const auto targets = domain_targets(state.free_bucket.limits(), demands);
    for (const auto& [domain_name, target] : targets) {
        const auto entry = entries.find(domain_name);
        if (entry == entries.end())
            continue;
        const share_units current_units = entry->second->parts() - entry->second->locked();
        result.others_need_more |= entry->second->is_short() && target - current_units >= claim_hysteresis;
    }
    result.target = targets.at(m_settings.failure_domain);
    return result;
}

/// Units that no domain holds and that are not reserved for the minimum share of another domain.
share_units share_coordinator::claimable_units(const messages::pool_document& document, const std::string& name,
                                               const organisation_state& state) const
{
    const std::vector<std::string> listed = m_settings.failure_domains();
    const share_units floor = domain_floor(state.free_bucket.limits(), listed.size());
    std::map<std::string, share_units> reserved;
    for (const std::string& domain_name : listed)
        reserved[domain_name] = domain_name == m_settings.failure_domain ? 0 : floor;
    share_units unclaimed = full_share;
    for (const messages::pool_domain& domain : document.domains()) {
        const messages::pool_entry* entry = find_entry(&domain, name);
        if (entry == nullptr)
            continue;
        unclaimed -= entry->parts();
        if (const auto found = reserved.find(domain.name()); found != reserved.end())
            found->second = std::max(found->second - entry->parts(), share_units{0});
    }
    for (const auto& [domain_name, reserved_units] : reserved)
        unclaimed -= reserved_units;
    return std::max(unclaimed, share_units{0});
}

bool share_coordinator::review_organisation(const std::string& name, organisation_state& state)
{
    const messages::pool_entry* entry = find_entry(m_pool.domain(m_settings.failure_domain), name);
    if (entry == nullptr)
        return state.free_bucket.limits().rate > 0;
    const domain_plan plan = plan_domain_share(m_pool.document(), name, state);
    state.usable_target = plan.others_need_more ? plan.target : full_share;
    if (plan.others_need_more && state.usable_units() - plan.target >= release_threshold(state)) {
        if (releasable_units(state, plan.target) >= release_threshold(state))
            return true;
        request_returns(name, state);
    }
    if (!is_overloaded(state))
        return false;
    const share_units missing =
        std::min(plan.target - state.usable_units(), claimable_units(m_pool.document(), name, state));
    const micro_tokens error = std::max(state.demand - entry->demand(), entry->demand() - state.demand);
    const bool outdated = error > std::max(state.demand, entry->demand()) / 100 * publish_error_percent;
    return missing >= claim_hysteresis || !entry->is_short() || outdated;
}

void share_coordinator::review()
{
    if (!m_active || m_resigning)
        return;
    const time_point now = m_timers.now();
    if (now >= m_next_renewal || !is_lease_valid())
        return m_pool.write();
    bool write_needed = false;
    for (const auto& [name, limits] : m_limits)
        find_or_add_organisation(name);
    for (auto& [name, state] : m_organisations)
        write_needed |= review_organisation(name, state);
    if (!write_needed || now < m_next_unscheduled_write)
        return;
    if (now - m_next_unscheduled_write > unscheduled_gap_reset)
        m_unscheduled_write_gap = duration{0};
    m_unscheduled_write_gap = std::clamp(m_unscheduled_write_gap * 2, min_unscheduled_gap, max_unscheduled_gap);
    m_next_unscheduled_write = now + m_unscheduled_write_gap;
    m_unscheduled_write_pending = true;
    m_pool.write();
}

/// Requests all nodes with holdings of an organisation to return the excess over their targets, so that another domain
/// can use it.
void share_coordinator::request_returns(const std::string& name, const organisation_state& state)
{
    if (m_timers.now() < m_next_return_request)
        return;
    m_next_return_request = m_timers.now() + return_request_gap;
    for (const auto& [node_name, node] : m_node_sessions) {
        const auto entry = node.current_session.holdings.find(name);
        if (node.current_session.is_closed || entry == node.current_session.holdings.end())
            continue;
        messages::envelope message;
        messages::grant& response = *message.mutable_grant();
        response.set_group(m_group);
        response.set_epoch(m_epoch);
        response.set_incarnation(node.current_session.incarnation);
        response.set_session(node.current_session.number);
        messages::grant_line& line = *response.add_lines();
        line.set_organisation(name);
        write_total(entry->second.granted, *line.mutable_granted());
        const share target = target_for(state, entry->second);
        line.set_target_rate(target.rate);
        line.set_target_capacity(target.capacity);
        m_owner.send(node_name, message);
    }
}

std::vector<domain_share_status> share_coordinator::status() const
{
    std::vector<domain_share_status> result;
    const auto fraction = [](share_units value) {
        return static_cast<double>(value) / static_cast<double>(full_share);
    };
    if (!is_lease_valid())
        return result;
    for (const auto& [name, state] : m_organisations) {
        result.push_back({name, fraction(state.confirmed_units), fraction(state.free_bucket.rate_units()),
                          fraction(state.free_bucket.capacity_units()),
                          fraction(std::max(state.locked_rate, state.locked_capacity))});
    }
    return result;
}

} // namespace mulberry::shares
