#include "plugins/shares/sharekeeper.h"

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
/// Writes out of turn come at least this far apart; each doubles the gap, up to the longest.
constexpr duration first_urgent_gap = std::chrono::milliseconds(250);
constexpr duration longest_urgent_gap = std::chrono::seconds(10);
constexpr duration urgent_quiet = std::chrono::seconds(30);
constexpr duration recall_gap = std::chrono::seconds(2);
/// Differences below these parts of the figure are not worth a store call.
constexpr parts claim_hysteresis = whole / 200;
constexpr parts release_hysteresis = whole / 100;
/// A domain is short when its load exceeds 100/115 of its rate.
constexpr std::int64_t short_percent = 115;
/// Load in the document is corrected out of turn when it is off by more than this.
constexpr std::int64_t publish_percent = 30;

} // namespace

parts share_keeper::kept::usable() const
{
    return total - std::max(locked_rate, locked_capacity);
}

share_keeper::share_keeper(const share_settings& settings, std::uint32_t group, timer_service& timers,
                           random_source& random, key_value_store& store, keeper_owner& owner)
    : m_settings(settings), m_group(group), m_timers(timers), m_random(random), m_owner(owner),
      m_pool(settings, fmt::format("shares/{}", group), timers, random, store, *this),
      m_ticker(timers, tick_interval, [this] { tick(); })
{
}

share_keeper::kept& share_keeper::organisation(std::string_view name)
{
    const auto found = m_kept.find(name);
    if (found != m_kept.end())
        return found->second;
    kept& added = m_kept[std::string(name)];
    const auto limits = m_limits.find(name);
    added.free = token_bucket(limits == m_limits.end() ? figure{} : limits->second, m_timers.now());
    return added;
}

void share_keeper::set_limits(std::string_view organisation_name, figure limits)
{
    m_limits.insert_or_assign(std::string(organisation_name), limits);
    if (!m_active)
        return;
    token_bucket& free = organisation(organisation_name).free;
    free.advance(m_timers.now());
    free.set_limits(limits);
}

// Role -------------------------------------------------------------------------------------------------------------

bool share_keeper::named_here(const messages::pool_domain* own) const
{
    return own != nullptr && own->keeper() == m_settings.node.name &&
           own->keeper_incarnation() == m_settings.node.incarnation && own->epoch() == m_epoch;
}

bool share_keeper::renewal_missing() const
{
    const duration unchanged = m_timers.now() - m_pool.first_seen(m_settings.failure_domain);
    return unchanged > m_settings.pool_renewal * 5 / 2;
}

/// No keeper is named, or one that was a former run of this node.
bool share_keeper::is_vacant(const messages::pool_domain& own) const
{
    return own.keeper().empty() ||
           (own.keeper() == m_settings.node.name && own.keeper_incarnation() < m_settings.node.incarnation);
}

void share_keeper::replace(std::uint64_t epoch)
{
    if (m_active)
        return;
    m_replaces = epoch;
    m_replaces_stale_only = false;
    m_pool.refresh();
}

void share_keeper::replace_if_stale(std::uint64_t epoch)
{
    replace(epoch);
    m_replaces_stale_only = m_replaces.has_value();
}

void share_keeper::resign()
{
    if (!m_active)
        return m_owner.on_resigned();
    m_resigning = true;
    m_pool.write();
}

void share_keeper::on_pool_unreachable()
{
    m_replaces.reset();
}

void share_keeper::on_pool_changed()
{
    const messages::pool_domain* own = m_pool.domain(m_settings.failure_domain);
    if (m_active) {
        if (named_here(own))
            return review();
        const bool resigned = m_resigning && own != nullptr && own->keeper().empty() && own->epoch() == m_epoch;
        return resigned ? void() : lose_role();
    }
    if (m_taking_over)
        return;
    const std::uint64_t epoch = own == nullptr ? 0 : own->epoch();
    const bool vacant = own == nullptr || is_vacant(*own);
    const bool spared = m_replaces_stale_only && !vacant && !renewal_missing();
    if (m_replaces && !spared && (vacant || *m_replaces == epoch))
        return m_pool.write();
    m_replaces.reset();
    m_owner.on_keeper_named(vacant ? std::string() : own->keeper(), epoch);
}

void share_keeper::lose_role()
{
    const messages::pool_domain* own = m_pool.domain(m_settings.failure_domain);
    log_info("shares", "Group {}: the keeper's role went from {} to {}.", m_group, m_settings.node.name,
             own == nullptr ? "nobody" : own->keeper());
    share_map remaining;
    if (lease_valid()) {
        for (auto& [name, state] : m_kept) {
            state.free.advance(m_timers.now());
            remaining[name] = state.free.release();
        }
    }
    m_active = false;
    m_kept.clear();
    m_members.clear();
    m_pool.set_watching(false);
    if (own != nullptr && own->keeper() != m_settings.node.name)
        m_owner.on_keeper_named(own->keeper(), own->epoch());
    m_owner.on_role_lost(remaining, m_lease_end);
}

// Writes -----------------------------------------------------------------------------------------------------------

bool share_keeper::prepare_write(messages::pool_document& document)
{
    messages::pool_domain& own = domain_in(document, m_settings.failure_domain);
    if (!m_active)
        return m_replaces && prepare_takeover(document, own);
    if (!named_here(&own))
        return false;
    if (m_resigning) {
        prepare_resignation(own);
        return true;
    }
    if (!m_urgent && m_timers.now() < m_next_renewal)
        return false;
    m_urgent = false;
    m_next_renewal = m_timers.now() + m_settings.pool_renewal;
    prepare_entries(document, own);
    return true;
}

bool share_keeper::prepare_takeover(messages::pool_document& document, messages::pool_domain& own)
{
    if (!is_vacant(own) && *m_replaces != own.epoch()) {
        m_replaces.reset();
        return false;
    }
    m_taking_over = true;
    const bool ended = m_pool.domain(own.name()) == nullptr || m_pool.lapsed(own.name());
    m_unlock_at = ended
                      ? m_timers.now()
                      : m_pool.first_seen(own.name()) + m_settings.pool_lease + drift_allowance(m_settings.pool_lease);
    m_left.clear();
    for (messages::pool_entry& entry : *own.mutable_entries()) {
        m_left[entry.organisation()] =
            ended ? share{entry.parts(), entry.parts(), 0} : share{entry.left_rate(), entry.left_capacity(), 0};
        entry.clear_left_rate();
        entry.clear_left_capacity();
    }
    own.set_keeper(m_settings.node.name);
    own.set_keeper_incarnation(m_settings.node.incarnation);
    own.set_epoch(own.epoch() + 1);
    reap_lapsed(document);
    return true;
}

void share_keeper::prepare_resignation(messages::pool_domain& own)
{
    own.clear_keeper();
    own.clear_keeper_incarnation();
    if (!lease_valid())
        return;
    for (auto& [name, state] : m_kept) {
        state.releasing = state.free.release();
        messages::pool_entry& entry = entry_in(own, name);
        entry.set_left_rate(state.releasing.rate);
        entry.set_left_capacity(state.releasing.capacity);
    }
}

void share_keeper::reap_lapsed(messages::pool_document& document) const
{
    const std::vector<std::string> listed = m_settings.failure_domains();
    for (messages::pool_domain& other : *document.mutable_domains()) {
        if (other.name() == m_settings.failure_domain || !m_pool.lapsed(other.name()))
            continue;
        const bool is_listed = std::ranges::find(listed, other.name()) != listed.end();
        for (messages::pool_entry& entry : *other.mutable_entries()) {
            const auto limits = m_limits.find(entry.organisation());
            const bool has_floor = is_listed && limits != m_limits.end();
            const parts floor = has_floor ? domain_floor(limits->second, listed.size()) : 0;
            entry.set_parts(std::min(entry.parts(), floor));
            entry.clear_locked();
            entry.clear_demand();
            entry.clear_is_short();
            entry.clear_left_rate();
            entry.clear_left_capacity();
        }
    }
}

void share_keeper::prepare_entries(messages::pool_document& document, messages::pool_domain& own)
{
    reap_lapsed(document);
    for (const auto& [name, limits] : m_limits)
        organisation(name);
    for (auto& [name, state] : m_kept) {
        state.free.advance(m_timers.now());
        messages::pool_entry& entry = entry_in(own, name);
        const plan wanted = plan_for(document, name, state);
        const parts missing = std::min(wanted.target - state.usable(), claimable(document, name, state));
        // A keeper whose lease has ended renews first; what it holds then is what the document says.
        if (lease_valid() && missing >= claim_hysteresis) {
            entry.set_parts(state.total + missing);
        }
        else if (lease_valid() && releasable(state, wanted.target) >= hysteresis(state)) {
            const parts given = releasable(state, wanted.target);
            state.releasing =
                state.free.split({given, given, scaled(state.free.level(), given, state.free.capacity_parts())});
            entry.set_parts(state.total - given);
        }
        entry.set_locked(std::max(state.locked_rate, state.locked_capacity));
        entry.set_demand(state.demand);
        entry.set_is_short(is_short(state));
    }
}

void share_keeper::on_write_resolved(bool applied, time_point sent_at)
{
    const messages::pool_domain* own = m_pool.domain(m_settings.failure_domain);
    if (m_taking_over) {
        m_taking_over = false;
        m_replaces.reset();
        // A successor may already have been named by the time the answer is known.
        if (applied && own != nullptr && own->keeper() == m_settings.node.name &&
            own->keeper_incarnation() == m_settings.node.incarnation)
            finish_takeover(*own, sent_at);
        return;
    }
    if (!m_active)
        return;
    if (!applied) {
        // When a successor is named, the write may have taken effect before it.
        if (named_here(own))
            restore_releasing();
        m_urgent = true;
        return;
    }
    if (m_resigning) {
        m_active = false;
        m_kept.clear();
        m_pool.set_watching(false);
        for (const auto& [name, holder] : m_members)
            redirect(name);
        m_members.clear();
        return m_owner.on_resigned();
    }
    m_confirmed = sent_at;
    expire();
    m_lease_end = sent_at + m_settings.pool_lease;
    if (named_here(own) && m_timers.now() < m_lease_end)
        finish_renewal(*own);
}

void share_keeper::restore_releasing()
{
    for (auto& [name, state] : m_kept) {
        state.free.merge(state.releasing);
        state.releasing = {};
    }
}

void share_keeper::finish_takeover(const messages::pool_domain& own, time_point sent_at)
{
    log_info("shares", "Group {}: {} is the keeper of {}, epoch {}.", m_group, to_string(m_settings.node), own.name(),
             own.epoch());
    m_active = true;
    m_epoch = own.epoch();
    m_confirmed = sent_at;
    m_lease_end = sent_at + m_settings.pool_lease;
    m_next_renewal = m_timers.now() + m_settings.pool_renewal;
    m_holds_entry = true;
    m_kept.clear();
    m_members.clear();
    for (const messages::pool_entry& entry : own.entries()) {
        kept& state = organisation(entry.organisation());
        state.total = entry.parts();
        const share& left = m_left[entry.organisation()];
        state.locked_rate = entry.parts() - left.rate;
        state.locked_capacity = entry.parts() - left.capacity;
        state.free.merge(left);
    }
    m_left.clear();
    m_pool.set_watching(true);
    m_owner.on_keeper_named(m_settings.node.name, m_epoch);
}

void share_keeper::finish_renewal(const messages::pool_domain& own)
{
    for (const messages::pool_entry& entry : own.entries()) {
        kept& state = organisation(entry.organisation());
        state.free.advance(m_timers.now());
        const parts before = state.total - state.releasing.rate;
        const parts raise = entry.parts() - before;
        invariant_monitor::instance().check(raise >= 0, invariant::rate_bounded,
                                            "a renewal confirmed less than the keeper holds");
        state.free.merge({raise, raise, 0});
        state.total = entry.parts();
        state.releasing = {};
    }
    m_holds_entry = true;
}

// Leases -----------------------------------------------------------------------------------------------------------

void share_keeper::tick()
{
    if (!m_active)
        return;
    expire();
    unlock_lapsed();
    reclaim_lapsed();
    review();
}

/// Once the own lease has ended, others may take the entry, and every grant that depended on it has ended too.
void share_keeper::expire()
{
    if (!m_active || !m_holds_entry || m_timers.now() < m_lease_end)
        return;
    log_warning("shares", "Group {}: the lease on the entry of {} has ended.", m_group, m_settings.failure_domain);
    m_holds_entry = false;
    m_kept.clear();
    for (auto& [name, holder] : m_members) {
        holder.former.clear();
        holder.current.accounts.clear();
        holder.current.closed = true;
    }
}

void share_keeper::unlock_lapsed()
{
    if (!lease_valid() || m_timers.now() < m_unlock_at)
        return;
    for (auto& [name, state] : m_kept) {
        state.free.merge({state.locked_rate, state.locked_capacity, 0});
        state.locked_rate = 0;
        state.locked_capacity = 0;
    }
}

/// A grant that lapsed is used again only after a write sent later was confirmed: until then a successor may have been
/// named to which the node handed its grant over.
void share_keeper::reclaim_lapsed()
{
    if (!lease_valid())
        return;
    const auto ended = [this](const session& lent) { return m_confirmed >= lent.until; };
    for (auto& [name, holder] : m_members) {
        if (m_timers.now() - holder.current.heard > 3 * m_settings.report_interval)
            forget_demand(holder.current);
        if (ended(holder.current) && !holder.current.accounts.empty())
            reclaim(holder.current);
        for (session& former : holder.former) {
            if (ended(former))
                reclaim(former);
        }
        std::erase_if(holder.former, [](const session& former) { return former.accounts.empty(); });
    }
}

void share_keeper::forget_demand(session& silent)
{
    for (auto& [name, entry] : silent.accounts)
        organisation(name).demand -= std::exchange(entry.demand, 0);
}

void share_keeper::reclaim(session& ended)
{
    forget_demand(ended);
    for (const auto& [name, entry] : ended.accounts) {
        kept& state = organisation(name);
        const share lent = entry.outstanding();
        state.lent -= lent;
        state.free.merge({lent.rate, lent.capacity, 0});
    }
    ended.accounts.clear();
    ended.closed = true;
}

// Division among domains -------------------------------------------------------------------------------------------

bool share_keeper::is_short(const kept& state)
{
    const micro_tokens usable_rate = scaled(state.free.limits().rate, state.usable(), whole);
    return state.demand > 0 && state.demand / 100 * short_percent > usable_rate;
}

parts share_keeper::hysteresis(const kept& state)
{
    return std::max(release_hysteresis, state.total / 20);
}

parts share_keeper::releasable(const kept& state, parts target)
{
    return std::min({state.usable() - target, state.free.rate_parts(), state.free.capacity_parts()});
}

share_keeper::plan share_keeper::plan_for(const messages::pool_document& document, const std::string& name,
                                          const kept& state) const
{
    std::map<std::string, domain_demand> demands;
    std::map<std::string, const messages::pool_entry*> entries;
    for (const std::string& listed : m_settings.failure_domains())
        demands[listed];
    demands[m_settings.failure_domain] = {state.demand, std::max(state.locked_rate, state.locked_capacity)};
    for (const messages::pool_domain& other : document.domains()) {
        const messages::pool_entry* entry = entry_in(&other, name);
        if (entry == nullptr || other.name() == m_settings.failure_domain)
            continue;
        demands[other.name()] = {entry->demand(), entry->locked()};
        entries[other.name()] = entry;
    }
    plan result;
    const auto targets = domain_targets(state.free.limits(), demands);
    for (const auto& [domain_name, target] : targets) {
        const auto entry = entries.find(domain_name);
        if (entry == entries.end())
            continue;
        const parts has = entry->second->parts() - entry->second->locked();
        result.others_need |= entry->second->is_short() && target - has >= claim_hysteresis;
    }
    result.target = targets.at(m_settings.failure_domain);
    return result;
}

/// Parts that no domain has and that are not kept back for another domain's floor.
parts share_keeper::claimable(const messages::pool_document& document, const std::string& name, const kept& state) const
{
    const std::vector<std::string> listed = m_settings.failure_domains();
    const parts floor = domain_floor(state.free.limits(), listed.size());
    std::map<std::string, parts> reserved;
    for (const std::string& domain_name : listed)
        reserved[domain_name] = domain_name == m_settings.failure_domain ? 0 : floor;
    parts unclaimed = whole;
    for (const messages::pool_domain& domain : document.domains()) {
        const messages::pool_entry* entry = entry_in(&domain, name);
        if (entry == nullptr)
            continue;
        unclaimed -= entry->parts();
        if (const auto found = reserved.find(domain.name()); found != reserved.end())
            found->second = std::max(found->second - entry->parts(), parts{0});
    }
    for (const auto& [domain_name, kept_back] : reserved)
        unclaimed -= kept_back;
    return std::max(unclaimed, parts{0});
}

bool share_keeper::review_organisation(const std::string& name, kept& state)
{
    const messages::pool_entry* entry = entry_in(m_pool.domain(m_settings.failure_domain), name);
    if (entry == nullptr)
        return state.free.limits().rate > 0;
    const plan wanted = plan_for(m_pool.document(), name, state);
    state.aim = wanted.others_need ? wanted.target : whole;
    if (wanted.others_need && state.usable() - wanted.target >= hysteresis(state)) {
        if (releasable(state, wanted.target) >= hysteresis(state))
            return true;
        recall(name, state);
    }
    if (!is_short(state))
        return false;
    const parts missing = std::min(wanted.target - state.usable(), claimable(m_pool.document(), name, state));
    const micro_tokens error = std::max(state.demand - entry->demand(), entry->demand() - state.demand);
    const bool outdated = error > std::max(state.demand, entry->demand()) / 100 * publish_percent;
    return missing >= claim_hysteresis || !entry->is_short() || outdated;
}

void share_keeper::review()
{
    if (!m_active || m_resigning)
        return;
    const time_point now = m_timers.now();
    if (now >= m_next_renewal || !lease_valid())
        return m_pool.write();
    bool urgent = false;
    for (const auto& [name, limits] : m_limits)
        organisation(name);
    for (auto& [name, state] : m_kept)
        urgent |= review_organisation(name, state);
    if (!urgent || now < m_next_urgent)
        return;
    if (now - m_next_urgent > urgent_quiet)
        m_urgent_gap = duration{0};
    m_urgent_gap = std::clamp(m_urgent_gap * 2, first_urgent_gap, longest_urgent_gap);
    m_next_urgent = now + m_urgent_gap;
    m_urgent = true;
    m_pool.write();
}

/// Tells the holders of an organisation to return what exceeds their targets, so that it can go to another domain.
void share_keeper::recall(const std::string& name, const kept& state)
{
    if (m_timers.now() < m_next_recall)
        return;
    m_next_recall = m_timers.now() + recall_gap;
    for (const auto& [holder_name, holder] : m_members) {
        const auto entry = holder.current.accounts.find(name);
        if (holder.current.closed || entry == holder.current.accounts.end())
            continue;
        messages::envelope message;
        messages::grant& answer = *message.mutable_grant();
        answer.set_group(m_group);
        answer.set_epoch(m_epoch);
        answer.set_incarnation(holder.current.incarnation);
        answer.set_session(holder.current.number);
        messages::grant_line& line = *answer.add_lines();
        line.set_organisation(name);
        write_total(entry->second.granted, *line.mutable_granted());
        const share target = target_for(state, entry->second);
        line.set_target_rate(target.rate);
        line.set_target_capacity(target.capacity);
        m_owner.send(holder_name, message);
    }
}

std::vector<kept_status> share_keeper::status() const
{
    std::vector<kept_status> result;
    const auto fraction = [](parts value) { return static_cast<double>(value) / static_cast<double>(whole); };
    if (!lease_valid())
        return result;
    for (const auto& [name, state] : m_kept) {
        result.push_back({name, fraction(state.total), fraction(state.free.rate_parts()),
                          fraction(state.free.capacity_parts()),
                          fraction(std::max(state.locked_rate, state.locked_capacity))});
    }
    return result;
}

} // namespace mulberry::shares
