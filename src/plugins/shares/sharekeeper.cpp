#include "plugins/shares/sharekeeper.h"

#include "libs/base/invariant.h"
#include "libs/base/log.h"
#include "plugins/shares/domaintargets.h"
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

messages::pool_domain& domain_in(messages::pool_document& document, const std::string& name)
{
    for (messages::pool_domain& entry : *document.mutable_domains()) {
        if (entry.name() == name)
            return entry;
    }
    messages::pool_domain& added = *document.add_domains();
    added.set_name(name);
    return added;
}

const messages::pool_entry* entry_in(const messages::pool_domain* domain, std::string_view organisation)
{
    if (domain == nullptr)
        return nullptr;
    const auto found = std::ranges::find(domain->entries(), organisation, &messages::pool_entry::organisation);
    return found == domain->entries().end() ? nullptr : &*found;
}

messages::pool_entry& entry_in(messages::pool_domain& domain, const std::string& organisation)
{
    for (messages::pool_entry& entry : *domain.mutable_entries()) {
        if (entry.organisation() == organisation)
            return entry;
    }
    messages::pool_entry& added = *domain.add_entries();
    added.set_organisation(organisation);
    return added;
}

/// Least parts whose floor is the amount.
parts parts_for(micro_tokens amount, micro_tokens figure_amount)
{
    if (figure_amount <= 0)
        return 0;
    return scaled(amount, whole, figure_amount) + 1;
}

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

// Division among nodes ---------------------------------------------------------------------------------------------

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
