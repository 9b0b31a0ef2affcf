#include "plugins/configuration/configrelayimplementation.h"

#include "libs/base/log.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace mulberry {

using configuration_messages::config_message;
using detail::max_fresh_age;
using detail::max_revision;
using detail::revision_allowed;

namespace {

constexpr std::string_view log_part = "configuration";
/// Larger than max_reply_bytes, because a reply may carry a single document of the store's maximum size.
constexpr std::size_t max_payload_bytes = 2'000'000;
constexpr std::size_t max_key_bytes = 512;
constexpr int max_held_revisions = 64;
constexpr std::uint64_t max_age_ms = std::uint64_t{1} << 40;
/// A node pulls this long after the time at which its parent's view is refreshed. Pulling just after the refresh keeps
/// the ages from adding up along the tree.
constexpr duration refresh_margin{std::chrono::milliseconds(20)};
constexpr duration min_pull_interval{std::chrono::milliseconds(100)};
/// How often watchers query each other while the store is unreachable. A statement must be younger than 2 s after three
/// hops, the last of which takes up to 1 s. While the store is reachable, a watcher queries one other domain per pull
/// period.
constexpr duration outage_period{std::chrono::milliseconds(300)};

std::uint64_t rounded_up_ms(duration interval)
{
    return static_cast<std::uint64_t>((std::max(interval, duration{0}).count() + 999) / 1000);
}

std::uint64_t rounded_down_ms(duration interval)
{
    return static_cast<std::uint64_t>(std::max(interval, duration{0}).count() / 1000);
}

duration from_ms(std::uint64_t value)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(value, max_age_ms)));
}

bool document_allowed(const configuration_messages::document& document)
{
    return document.key().starts_with(documents_prefix) && document.key().size() <= max_key_bytes &&
           document.content().size() <= max_value_bytes && document.revision() > 0 &&
           document.revision() <= max_revision && (!document.deleted() || document.content().empty());
}

} // namespace

// ---- Pulls ----

void config_relay::implementation::schedule_round(duration delay)
{
    m_timers.cancel(m_round_timer);
    m_next_round = m_timers.now() + delay;
    m_round_timer = m_timers.schedule(delay, [this] { begin_round(); });
}

void config_relay::implementation::begin_round()
{
    schedule_round(m_settings.pull_period);
    const auto& parents = m_tree.parents();
    if (parents.empty())
        return;
    pull(parents[m_use_second_parent ? 1 : 0], true);
    // A node becomes ready only after it has queried both parents.
    if (!m_ready)
        pull(parents[m_use_second_parent ? 0 : 1], false);
}

void config_relay::implementation::pull(const std::string& target, bool is_round_pull)
{
    const std::uint64_t sequence = ++m_last_sequence;
    config_message message;
    auto& request = *message.mutable_request();
    request.set_sequence(sequence);
    request.set_complete_revision(m_view.complete_revision());
    request.set_from_watcher(m_tree.is_watcher());
    for (const config_document* document : m_view.newer_than(m_view.complete_revision())) {
        if (request.held_revisions_size() < max_held_revisions)
            request.add_held_revisions(document->revision);
    }
    pending_pull& pending = m_pulls[sequence];
    pending.target = target;
    pending.sent = m_timers.now();
    pending.is_round_pull = is_round_pull;
    pending.timer = m_timers.schedule(m_settings.pull_timeout, [this, sequence] { on_pull_timeout(sequence); });
    send(target, message);
}

void config_relay::implementation::on_pull_timeout(std::uint64_t sequence)
{
    const auto it = m_pulls.find(sequence);
    const pending_pull finished_pull = std::move(it->second);
    m_pulls.erase(it);
    record_source(finished_pull.target, false);
    update_readiness();
    if (finished_pull.is_round_pull)
        pull_from_other_parent(finished_pull.target);
}

/// Switches to the other parent, provided that the failed parent is still the one in use.
void config_relay::implementation::pull_from_other_parent(const std::string& first)
{
    const auto& parents = m_tree.parents();
    if (parents.empty() || parents[m_use_second_parent ? 1 : 0] != first)
        return;
    m_use_second_parent = !m_use_second_parent;
    pull(parents[m_use_second_parent ? 1 : 0], false);
}

void config_relay::implementation::pull_from_watchers()
{
    m_watchers_timer = m_timers.schedule(outage_period, [this] { pull_from_watchers(); });
    const bool store_unreachable = is_store_unreachable();
    if (!m_tree.is_watcher() || (!store_unreachable && m_timers.now() < m_next_watcher_round))
        return;
    const bool query_all = store_unreachable || m_timers.now() < m_poll_confirmations_until;
    m_next_watcher_round = m_timers.now() + m_settings.pull_period;
    ++m_watcher_round;
    std::uint64_t index = 0;
    for (const auto& [domain, names] : m_tree.watchers()) {
        const bool is_own_domain = domain == m_settings.domain;
        const bool in_turn = index++ == m_watcher_round % m_tree.watchers().size();
        const std::string target = is_own_domain ? partner() : names[m_random.uniform(names.size())];
        if (!target.empty() && (query_all || is_own_domain || in_turn))
            pull(target, false);
    }
}

void config_relay::implementation::pull_from_random_member()
{
    const auto members = m_members.members();
    if (members.empty())
        return;
    const std::string name = members[m_random.uniform(members.size())].id.name;
    if (name != m_settings.node)
        pull(name, false);
}

// ---- Messages ----

void config_relay::implementation::send(std::string_view to, const config_message& message)
{
    m_link.send(to, control_channel::configuration, message.SerializeAsString());
}

void config_relay::implementation::receive(std::string_view from, std::string_view payload)
{
    config_message message;
    const bool parsed =
        payload.size() <= max_payload_bytes && message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (!parsed) {
        log_debug(log_part, "Dropped a message from {}: it is too large or malformed.", from);
        return;
    }
    switch (message.body_case()) {
    case config_message::kRequest:
        return handle_request(from, message.request());
    case config_message::kReply:
        return handle_reply(from, message.reply());
    case config_message::kNotice:
        return handle_notice(from, message.notice().revision());
    case config_message::kConfirmation:
        return handle_confirmation(from, message.confirmation().revision());
    case config_message::BODY_NOT_SET:
        return;
    }
}

void config_relay::implementation::handle_request(std::string_view from,
                                                  const configuration_messages::pull_request& request)
{
    if (m_members.find(from) == nullptr || !revision_allowed(request.complete_revision()))
        return;
    m_children.insert_or_assign(std::string(from), m_timers.now());
    config_message message;
    auto& reply = *message.mutable_reply();
    reply.set_sequence(request.sequence());
    reply.set_ready(m_ready);
    reply.set_next_refresh_ms(rounded_up_ms(time_until_refresh()));
    if (const auto age = m_age.age())
        reply.set_age_ms_plus_one(rounded_up_ms(*age) + 1);
    add_documents(request, reply);
    add_statements(from, request.from_watcher(), reply);
    send(from, message);
}

void config_relay::implementation::add_documents(const configuration_messages::pull_request& request,
                                                 configuration_messages::pull_reply& reply)
{
    const std::set<std::int64_t> held_revisions(request.held_revisions().begin(), request.held_revisions().end());
    reply.set_complete_revision(m_view.complete_revision());
    std::size_t bytes = 0;
    std::int64_t last = request.complete_revision();
    for (const config_document* document : m_view.newer_than(request.complete_revision())) {
        const std::size_t size = document->key.size() + document->content.size();
        if (!held_revisions.contains(document->revision)) {
            if (bytes > 0 && bytes + size > m_settings.max_reply_bytes) {
                reply.set_more(true);
                reply.set_complete_revision(std::min(last, m_view.complete_revision()));
                return;
            }
            bytes += size;
            auto& out = *reply.add_documents();
            out.set_key(document->key);
            out.set_content(document->content);
            out.set_revision(document->revision);
            out.set_deleted(document->deleted);
        }
        last = document->revision;
    }
}

/// Replies to the watchers of other domains carry the statement of this domain. Replies to nodes that are not watchers
/// carry all statements, but only while the view of this node is not fresh.
void config_relay::implementation::add_statements(std::string_view to, bool to_watcher,
                                                  configuration_messages::pull_reply& reply)
{
    if (m_tree.is_watcher())
        update_own_statement();
    const member* receiver = m_members.find(to);
    const bool same_domain = receiver != nullptr && receiver->location.failure_domain == m_settings.domain;
    reply.set_from_watcher(m_tree.is_watcher());
    if (same_domain && to_watcher && m_store_reached_at)
        reply.set_own_reached_ago_ms_plus_one(rounded_down_ms(m_timers.now() - *m_store_reached_at) + 1);
    const auto age = m_age.age();
    const bool view_is_fresh = age && *age < max_fresh_age;
    for (const domain_statement& statement : m_age.statements()) {
        const bool is_own_domain = statement.domain == m_settings.domain;
        const bool include_statement =
            to_watcher ? is_own_domain && m_tree.is_watcher() && !same_domain : !view_is_fresh;
        if (!include_statement)
            continue;
        auto& out = *reply.add_statements();
        out.set_domain_hash(domain_hash(statement.domain));
        out.set_age_ms(rounded_up_ms(statement.age));
        if (statement.store_reached_ago)
            out.set_reached_ago_ms_plus_one(rounded_down_ms(*statement.store_reached_ago) + 1);
        out.set_known_revision(statement.known_revision);
        out.set_confirmed_revision(statement.confirmed_revision);
    }
}

void config_relay::implementation::handle_reply(std::string_view from, const configuration_messages::pull_reply& reply)
{
    const auto it = m_pulls.find(reply.sequence());
    const bool expected = it != m_pulls.end() && it->second.target == from;
    if (!expected || !revision_allowed(reply.complete_revision()))
        return;
    const pending_pull finished_pull = std::move(it->second);
    m_timers.cancel(finished_pull.timer);
    m_pulls.erase(it);
    if (!apply_documents(reply))
        return;
    m_view.set_complete(reply.complete_revision());
    if (reply.more())
        return pull(finished_pull.target, finished_pull.is_round_pull);
    // The last part of the reply has been applied, so this view holds everything that the sender's view held. The
    // sender's age and statements therefore apply to this view as well.
    if (reply.ready() && reply.age_ms_plus_one() > 0)
        m_age.set_complete_as_of(finished_pull.sent - from_ms(reply.age_ms_plus_one() - 1));
    record_statements(from, reply, finished_pull.sent);
    record_source(from, reply.ready());
    update_readiness();
    handle_parent_reply(finished_pull, reply);
}

/// Returns false if a document is malformed; the whole reply is then ignored.
bool config_relay::implementation::apply_documents(const configuration_messages::pull_reply& reply)
{
    const auto& documents = reply.documents();
    if (!std::all_of(documents.begin(), documents.end(), document_allowed)) {
        log_warning(log_part, "Dropped a reply that contains a malformed document.");
        return false;
    }
    bool changed = false;
    for (const auto& document : documents)
        changed |= m_view.apply({document.key(), document.content(), document.revision(), document.deleted()});
    if (changed)
        on_documents_changed();
    return true;
}

void config_relay::implementation::record_statements(std::string_view from,
                                                     const configuration_messages::pull_reply& reply, time_point sent)
{
    for (const auto& in : reply.statements()) {
        if (!revision_allowed(in.known_revision()) || !revision_allowed(in.confirmed_revision()))
            continue;
        domain_statement statement{m_age.domain_with_hash(in.domain_hash()), from_ms(in.age_ms()), std::nullopt,
                                   in.known_revision(), in.confirmed_revision()};
        if (in.reached_ago_ms_plus_one() > 0)
            statement.store_reached_ago = from_ms(in.reached_ago_ms_plus_one() - 1);
        m_age.record_statement(statement, sent);
    }
    if (!reply.from_watcher() || from != partner())
        return;
    m_partner_responded_at = std::max(m_partner_responded_at, std::optional(sent));
    if (reply.own_reached_ago_ms_plus_one() > 0) {
        const time_point reached = m_timers.now() - from_ms(reply.own_reached_ago_ms_plus_one() - 1);
        m_partner_reached_at = std::max(m_partner_reached_at, std::optional(reached));
    }
}

void config_relay::implementation::handle_parent_reply(const pending_pull& finished_pull,
                                                       const configuration_messages::pull_reply& reply)
{
    const auto& parents = m_tree.parents();
    const bool from_parent = !parents.empty() && parents[m_use_second_parent ? 1 : 0] == finished_pull.target;
    if (!from_parent)
        return;
    const bool is_recent = reply.age_ms_plus_one() > 0 && from_ms(reply.age_ms_plus_one()) <= max_fresh_age;
    const bool is_usable = reply.ready() && (is_recent || keyed_requests_allowed());
    if (!is_usable && finished_pull.is_round_pull)
        return pull_from_other_parent(finished_pull.target);
    const duration jitter{static_cast<std::int64_t>(m_random.uniform(10'000))};
    const duration aligned = from_ms(reply.next_refresh_ms()) + refresh_margin + jitter;
    schedule_round(std::clamp(aligned, min_pull_interval, m_settings.pull_period));
}

void config_relay::implementation::handle_notice(std::string_view from, std::int64_t revision)
{
    if (!revision_allowed(revision) || revision <= held_revision() || m_members.find(from) == nullptr)
        return;
    const bool pull_is_pending =
        std::any_of(m_pulls.begin(), m_pulls.end(), [&from](const auto& each) { return each.second.target == from; });
    if (!pull_is_pending)
        pull(std::string(from), false);
}

duration config_relay::implementation::time_until_refresh() const
{
    const time_point next = m_watch ? m_watch->next_refresh() : m_next_round + refresh_margin;
    return std::max(next - m_timers.now(), duration{0});
}

} // namespace mulberry
