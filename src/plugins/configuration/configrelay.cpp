#include "plugins/configuration/configrelay.h"

#include "plugins/configuration/messages.pb.h"
#include "plugins/configuration/relaytree.h"
#include "plugins/configuration/storewatch.h"

#include "libs/base/log.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace mulberry {

namespace {

using configuration_messages::config_message;

constexpr std::string_view log_part = "configuration";
/// A reply may carry one document of the store's maximum size besides the rest.
constexpr std::size_t max_payload_bytes = 2'000'000;
constexpr std::size_t max_key_bytes = 512;
constexpr std::int64_t max_revision = std::int64_t{1} << 62;
constexpr int max_held_revisions = 64;
constexpr std::uint64_t max_age_ms = std::uint64_t{1} << 40;

/// A node pulls this long after its parent has refreshed its view, so that ages do not add up along the tree.
constexpr duration refresh_margin{std::chrono::milliseconds(20)};
constexpr duration min_pull_interval{std::chrono::milliseconds(100)};
/// A parent whose view is older is not good enough; the other one is asked.
constexpr duration good_age{std::chrono::milliseconds(1200)};
/// Without the store, watchers ask each other this often: a statement must be younger than 2 s after three hops, of
/// which the last takes up to 1 s. Otherwise they ask one other domain per pull period.
constexpr duration outage_period{std::chrono::milliseconds(300)};
/// After a change, watchers ask all domains for this long, so that operators soon see where it is confirmed.
constexpr duration confirming_time{std::chrono::seconds(10)};
constexpr duration anti_entropy_period{std::chrono::seconds(10)};
/// Confirmations of one change come spread over this time.
constexpr duration confirmation_spread{std::chrono::milliseconds(500)};
constexpr duration confirmation_period{std::chrono::seconds(30)};
/// Members change in groups; when 1,400 join at once, a rebuild for each would take most of the processor time.
constexpr duration rebuild_delay{std::chrono::milliseconds(50)};
/// A node that pulled within this time is told of changes.
constexpr duration child_lifetime{std::chrono::seconds(5)};

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

bool revision_allowed(std::int64_t revision)
{
    return revision >= 0 && revision <= max_revision;
}

bool document_allowed(const configuration_messages::document& document)
{
    return document.key().starts_with(documents_prefix) && document.key().size() <= max_key_bytes &&
           document.content().size() <= max_value_bytes && document.revision() > 0 &&
           document.revision() <= max_revision && (!document.deleted() || document.content().empty());
}

} // namespace

class config_relay::implementation final : public member_listener, public detail::store_watch_listener {
public:
    implementation(config_relay_settings settings, timer_service& timers, random_source& random, control_link& link,
                   key_value_store& store, member_directory& members, config_view& view);
    ~implementation() override;

    const detail::relay_tree& tree() const { return m_tree; }
    bool ready() const { return m_ready; }
    const view_age& age() const { return m_age; }
    void set_view_limit(duration limit) { m_age.set_limit(limit); }
    bool keyed_requests_allowed() const { return m_age.keyed_requests_allowed(held_revision()); }
    std::vector<domain_statement> statements();
    unconfirmed_parts unconfirmed(std::int64_t revision);
    void accept(config_document document);
    void receive(std::string_view from, std::string_view payload);

    void on_member_changed(const member& changed) override;
    void on_fresh(time_point as_of) override;
    void on_store_reached() override;
    void on_store_failed() override;
    void on_documents_changed() override;

private:
    struct pending_pull {
        std::string target;
        time_point sent{};
        timer_id timer = 0;
        /// The pull is the one of this round to a parent.
        bool of_round = false;
    };

    // The tree.
    void rebuild_tree();
    void become_watcher();
    void stop_watching();

    // Pulls.
    void pull(const std::string& target, bool of_round);
    void on_pull_timeout(std::uint64_t sequence);
    void begin_round();
    void schedule_round(duration delay);
    void ask_other_parent(const std::string& first);
    void ask_watchers();
    void ask_anyone();
    bool store_is_missing() const;

    // Messages.
    void send(std::string_view to, const config_message& message);
    void handle_request(std::string_view from, const configuration_messages::pull_request& request);
    void add_documents(const configuration_messages::pull_request& request, configuration_messages::pull_reply& reply);
    void add_statements(std::string_view to, bool to_watcher, configuration_messages::pull_reply& reply);
    void handle_reply(std::string_view from, const configuration_messages::pull_reply& reply);
    bool apply_documents(const configuration_messages::pull_reply& reply);
    void hear_statements(std::string_view from, const configuration_messages::pull_reply& reply, time_point sent);
    void after_round_reply(const pending_pull& ended, const configuration_messages::pull_reply& reply);
    void handle_notice(std::string_view from, std::int64_t revision);
    void handle_confirmation(std::string_view from, std::int64_t revision);

    // State of the fleet.
    void note_source(std::string_view name, bool complete_and_ready);
    void decide_ready();
    void hear_own_domain();
    void tell_children();
    void confirm_soon();
    void confirm();
    std::int64_t confirmed_by_domain();
    std::int64_t held_revision() const { return std::max(m_view.newest_revision(), m_view.complete_revision()); }
    duration until_refresh() const;
    std::string partner() const;

    const config_relay_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
    control_link& m_link;
    key_value_store& m_store;
    member_directory& m_members;
    config_view& m_view;
    detail::relay_tree m_tree;
    view_age m_age;
    std::unique_ptr<detail::store_watch> m_watch;

    std::map<std::uint64_t, pending_pull> m_pulls;
    std::uint64_t m_last_sequence = 0;
    /// Swapped when the preferred parent does not answer.
    bool m_use_second_parent = false;
    std::uint64_t m_watcher_round = 0;
    time_point m_next_watcher_round{};
    time_point m_confirming_until{};
    time_point m_next_round{};
    std::map<std::string, time_point, std::less<>> m_children;

    bool m_ready = false;
    bool m_store_answered = false;
    bool m_store_failed_once = false;
    bool m_heard_ready_source = false;
    std::set<std::string, std::less<>> m_asked_sources;

    /// When this node, as a watcher, last got an answer from the store, and what its partner says of itself.
    std::optional<time_point> m_store_reached_at;
    std::optional<time_point> m_partner_reached_at;
    std::optional<time_point> m_partner_heard_at;
    std::map<std::string, std::int64_t, std::less<>> m_confirmed;
    std::int64_t m_domain_confirmed = 0;
    time_point m_domain_confirmed_at{};

    timer_id m_rebuild_timer = 0;
    timer_id m_round_timer = 0;
    timer_id m_watchers_timer = 0;
    timer_id m_confirmation_timer = 0;
    bool m_confirmation_is_soon = false;
    periodic_timer m_anti_entropy;
};

config_relay::implementation::implementation(config_relay_settings settings, timer_service& timers,
                                             random_source& random, control_link& link, key_value_store& store,
                                             member_directory& members, config_view& view)
    : m_settings(std::move(settings)), m_timers(timers), m_random(random), m_link(link), m_store(store),
      m_members(members), m_view(view), m_tree(m_settings.node, m_settings.domain), m_age(timers, m_settings.domains),
      m_anti_entropy(timers, anti_entropy_period, [this] { ask_anyone(); })
{
    m_age.add_domain(m_settings.domain);
    m_members.add_listener(*this);
    rebuild_tree();
    schedule_round(duration{0});
    m_watchers_timer = m_timers.schedule(duration{0}, [this] { ask_watchers(); });
    confirm_soon();
}

config_relay::implementation::~implementation()
{
    m_members.remove_listener(*this);
    for (const timer_id timer : {m_rebuild_timer, m_round_timer, m_watchers_timer, m_confirmation_timer})
        m_timers.cancel(timer);
    for (const auto& [sequence, pending] : m_pulls)
        m_timers.cancel(pending.timer);
}

// ---- The tree ----

void config_relay::implementation::on_member_changed(const member& changed)
{
    if (changed.state != member_state::dead)
        m_age.add_domain(changed.location.failure_domain);
    if (m_rebuild_timer != 0 || !m_tree.affected_by(changed))
        return;
    m_rebuild_timer = m_timers.schedule(rebuild_delay, [this] {
        m_rebuild_timer = 0;
        rebuild_tree();
    });
}

void config_relay::implementation::rebuild_tree()
{
    const std::vector<std::string> old_parents = m_tree.parents();
    const std::vector<std::string> old_watchers = m_tree.watchers_of(m_settings.domain);
    const std::size_t old_place = m_tree.place();
    m_tree.rebuild(m_members.members());
    if (m_tree.is_watcher() && (!m_watch || old_place != m_tree.place()))
        become_watcher();
    if (!m_tree.is_watcher())
        stop_watching();
    if (old_parents != m_tree.parents()) {
        m_use_second_parent = false;
        schedule_round(duration{0});
    }
    if (old_watchers != m_tree.watchers_of(m_settings.domain)) {
        m_partner_heard_at.reset();
        confirm_soon();
    }
}

void config_relay::implementation::become_watcher()
{
    const std::string key = fmt::format("documents-heartbeat/{}/{}", m_settings.domain, m_tree.place());
    log_info(log_part, "This node watches the store for domain {}.", m_settings.domain);
    m_watch.reset();
    m_watch = std::make_unique<detail::store_watch>(key, m_timers, m_random, m_store, m_view, *this);
}

void config_relay::implementation::stop_watching()
{
    if (!m_watch)
        return;
    log_info(log_part, "This node no longer watches the store.");
    m_watch.reset();
    m_confirmed.clear();
}

std::string config_relay::implementation::partner() const
{
    for (const std::string& name : m_tree.watchers_of(m_settings.domain)) {
        if (name != m_settings.node)
            return name;
    }
    return {};
}

// ---- What the store says ----

void config_relay::implementation::on_fresh(time_point as_of)
{
    m_store_answered = true;
    m_age.set_fresh_at(as_of);
    decide_ready();
}

void config_relay::implementation::on_store_reached()
{
    m_store_reached_at = m_timers.now();
}

void config_relay::implementation::on_store_failed()
{
    m_store_failed_once = true;
    decide_ready();
}

void config_relay::implementation::on_documents_changed()
{
    m_confirming_until = m_timers.now() + confirming_time;
    tell_children();
    confirm_soon();
}

bool config_relay::implementation::store_is_missing() const
{
    return !m_store_reached_at || m_timers.now() - *m_store_reached_at > good_age;
}

void config_relay::implementation::accept(config_document document)
{
    if (m_view.apply(std::move(document)))
        on_documents_changed();
}

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
    // A node that is not ready has to hear both parents.
    if (!m_ready)
        pull(parents[m_use_second_parent ? 0 : 1], false);
}

void config_relay::implementation::pull(const std::string& target, bool of_round)
{
    const std::uint64_t sequence = ++m_last_sequence;
    config_message message;
    auto& request = *message.mutable_request();
    request.set_sequence(sequence);
    request.set_complete_revision(m_view.complete_revision());
    request.set_from_watcher(m_tree.is_watcher());
    for (const config_document* held : m_view.newer_than(m_view.complete_revision())) {
        if (request.held_revisions_size() < max_held_revisions)
            request.add_held_revisions(held->revision);
    }
    pending_pull& pending = m_pulls[sequence];
    pending.target = target;
    pending.sent = m_timers.now();
    pending.of_round = of_round;
    pending.timer = m_timers.schedule(m_settings.pull_timeout, [this, sequence] { on_pull_timeout(sequence); });
    send(target, message);
}

void config_relay::implementation::on_pull_timeout(std::uint64_t sequence)
{
    const auto it = m_pulls.find(sequence);
    const pending_pull ended = std::move(it->second);
    m_pulls.erase(it);
    note_source(ended.target, false);
    decide_ready();
    if (ended.of_round)
        ask_other_parent(ended.target);
}

/// Goes on with the other parent, if the one that failed is still the one in use.
void config_relay::implementation::ask_other_parent(const std::string& first)
{
    const auto& parents = m_tree.parents();
    if (parents.empty() || parents[m_use_second_parent ? 1 : 0] != first)
        return;
    m_use_second_parent = !m_use_second_parent;
    pull(parents[m_use_second_parent ? 1 : 0], false);
}

void config_relay::implementation::ask_watchers()
{
    m_watchers_timer = m_timers.schedule(outage_period, [this] { ask_watchers(); });
    const bool missing = store_is_missing();
    if (!m_tree.is_watcher() || (!missing && m_timers.now() < m_next_watcher_round))
        return;
    const bool all = missing || m_timers.now() < m_confirming_until;
    m_next_watcher_round = m_timers.now() + m_settings.pull_period;
    ++m_watcher_round;
    std::uint64_t index = 0;
    for (const auto& [domain, names] : m_tree.watchers()) {
        const bool own = domain == m_settings.domain;
        const bool in_turn = index++ == m_watcher_round % m_tree.watchers().size();
        const std::string other = own ? partner() : names[m_random.uniform(names.size())];
        if (!other.empty() && (all || own || in_turn))
            pull(other, false);
    }
}

void config_relay::implementation::ask_anyone()
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
        log_debug(log_part, "A message from {} could not be read.", from);
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
    reply.set_next_refresh_ms(rounded_up_ms(until_refresh()));
    if (const auto age = m_age.age())
        reply.set_age_ms_plus_one(rounded_up_ms(*age) + 1);
    add_documents(request, reply);
    add_statements(from, request.from_watcher(), reply);
    send(from, message);
}

void config_relay::implementation::add_documents(const configuration_messages::pull_request& request,
                                                 configuration_messages::pull_reply& reply)
{
    const std::set<std::int64_t> held(request.held_revisions().begin(), request.held_revisions().end());
    reply.set_complete_revision(m_view.complete_revision());
    std::size_t bytes = 0;
    std::int64_t last = request.complete_revision();
    for (const config_document* document : m_view.newer_than(request.complete_revision())) {
        const std::size_t size = document->key.size() + document->content.size();
        if (!held.contains(document->revision)) {
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

/// A watcher of another domain gets the statement of this domain; the own domain gets all, once the view is not fresh.
void config_relay::implementation::add_statements(std::string_view to, bool to_watcher,
                                                  configuration_messages::pull_reply& reply)
{
    if (m_tree.is_watcher())
        hear_own_domain();
    const member* receiver = m_members.find(to);
    const bool same_domain = receiver != nullptr && receiver->location.failure_domain == m_settings.domain;
    reply.set_from_watcher(m_tree.is_watcher());
    if (same_domain && to_watcher && m_store_reached_at)
        reply.set_own_reached_ago_ms_plus_one(rounded_down_ms(m_timers.now() - *m_store_reached_at) + 1);
    const auto age = m_age.age();
    const bool fresh = age && *age < good_age;
    for (const domain_statement& statement : m_age.statements()) {
        const bool own = statement.domain == m_settings.domain;
        const bool wanted = to_watcher ? own && m_tree.is_watcher() && !same_domain : !fresh;
        if (!wanted)
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
    const pending_pull ended = std::move(it->second);
    m_timers.cancel(ended.timer);
    m_pulls.erase(it);
    if (!apply_documents(reply))
        return;
    m_view.set_complete(reply.complete_revision());
    if (reply.more())
        return pull(ended.target, ended.of_round);
    // With the whole reply this view holds all that the sender held, so the sender's age and statements apply to it.
    if (reply.ready() && reply.age_ms_plus_one() > 0)
        m_age.set_fresh_at(ended.sent - from_ms(reply.age_ms_plus_one() - 1));
    hear_statements(from, reply, ended.sent);
    note_source(from, reply.ready());
    decide_ready();
    after_round_reply(ended, reply);
}

/// Returns false if a document is malformed; then nothing of the reply counts.
bool config_relay::implementation::apply_documents(const configuration_messages::pull_reply& reply)
{
    const auto& documents = reply.documents();
    if (!std::all_of(documents.begin(), documents.end(), document_allowed)) {
        log_warning(log_part, "A reply with a malformed document is dropped.");
        return false;
    }
    bool changed = false;
    for (const auto& document : documents)
        changed |= m_view.apply({document.key(), document.content(), document.revision(), document.deleted()});
    if (changed)
        on_documents_changed();
    return true;
}

void config_relay::implementation::hear_statements(std::string_view from,
                                                   const configuration_messages::pull_reply& reply, time_point sent)
{
    for (const auto& in : reply.statements()) {
        if (!revision_allowed(in.known_revision()) || !revision_allowed(in.confirmed_revision()))
            continue;
        domain_statement statement{m_age.domain_with_hash(in.domain_hash()), from_ms(in.age_ms()), std::nullopt,
                                   in.known_revision(), in.confirmed_revision()};
        if (in.reached_ago_ms_plus_one() > 0)
            statement.store_reached_ago = from_ms(in.reached_ago_ms_plus_one() - 1);
        m_age.hear(statement, sent);
    }
    if (!reply.from_watcher() || from != partner())
        return;
    m_partner_heard_at = std::max(m_partner_heard_at, std::optional(sent));
    if (reply.own_reached_ago_ms_plus_one() > 0) {
        const time_point reached = m_timers.now() - from_ms(reply.own_reached_ago_ms_plus_one() - 1);
        m_partner_reached_at = std::max(m_partner_reached_at, std::optional(reached));
    }
}

void config_relay::implementation::after_round_reply(const pending_pull& ended,
                                                     const configuration_messages::pull_reply& reply)
{
    const auto& parents = m_tree.parents();
    const bool from_parent = !parents.empty() && parents[m_use_second_parent ? 1 : 0] == ended.target;
    if (!from_parent)
        return;
    const bool young = reply.age_ms_plus_one() > 0 && from_ms(reply.age_ms_plus_one()) <= good_age;
    const bool good = reply.ready() && (young || keyed_requests_allowed());
    if (!good && ended.of_round)
        return ask_other_parent(ended.target);
    const duration jitter{static_cast<std::int64_t>(m_random.uniform(10'000))};
    const duration aligned = from_ms(reply.next_refresh_ms()) + refresh_margin + jitter;
    schedule_round(std::clamp(aligned, min_pull_interval, m_settings.pull_period));
}

void config_relay::implementation::handle_notice(std::string_view from, std::int64_t revision)
{
    if (!revision_allowed(revision) || revision <= held_revision() || m_members.find(from) == nullptr)
        return;
    const bool under_way =
        std::any_of(m_pulls.begin(), m_pulls.end(), [&from](const auto& each) { return each.second.target == from; });
    if (!under_way)
        pull(std::string(from), false);
}

duration config_relay::implementation::until_refresh() const
{
    const time_point next = m_watch ? m_watch->next_refresh() : m_next_round + refresh_margin;
    return std::max(next - m_timers.now(), duration{0});
}

// ---- Readiness ----

void config_relay::implementation::note_source(std::string_view name, bool complete_and_ready)
{
    if (m_ready)
        return;
    m_asked_sources.emplace(name);
    m_heard_ready_source = m_heard_ready_source || complete_and_ready;
}

/// Ready when all sources have been asked and the store or a ready source has answered.
void config_relay::implementation::decide_ready()
{
    if (m_ready)
        return;
    const auto asked = [this](const std::string& name) { return m_asked_sources.contains(name); };
    bool all_asked = std::all_of(m_tree.parents().begin(), m_tree.parents().end(), asked);
    if (m_tree.is_watcher()) {
        if (!m_store_answered && !m_store_failed_once)
            return;
        m_ready = m_store_answered;
        for (const auto& [domain, names] : m_tree.watchers()) {
            // One watcher of each other domain is enough.
            const bool own = domain == m_settings.domain;
            all_asked = all_asked &&
                        (own ? partner().empty() || asked(partner()) : std::any_of(names.begin(), names.end(), asked));
        }
    }
    m_ready = m_ready || (m_heard_ready_source && all_asked);
    if (!m_ready)
        return;
    m_asked_sources.clear();
    log_info(log_part, "The configuration is known up to revision {}.", m_view.complete_revision());
}

// ---- Statements, notices and confirmations ----

/// The statement of the own domain is as old as what the other watcher said of itself.
void config_relay::implementation::hear_own_domain()
{
    const time_point now = m_timers.now();
    const bool alone = partner().empty();
    if (!alone && !m_partner_heard_at)
        return;
    domain_statement statement{m_settings.domain, alone ? duration{0} : now - *m_partner_heard_at, std::nullopt,
                               m_view.newest_revision(), confirmed_by_domain()};
    const auto reached = std::max(m_store_reached_at, m_partner_reached_at);
    if (reached)
        statement.store_reached_ago = now - *reached;
    m_age.hear(statement, now);
}

std::vector<domain_statement> config_relay::implementation::statements()
{
    if (m_tree.is_watcher())
        hear_own_domain();
    return m_age.statements();
}

void config_relay::implementation::tell_children()
{
    std::erase_if(m_children, [this](const auto& each) { return m_timers.now() - each.second > child_lifetime; });
    std::set<std::string> receivers(m_tree.children().begin(), m_tree.children().end());
    for (const auto& [name, pulled_at] : m_children)
        receivers.insert(name);
    config_message message;
    message.mutable_notice()->set_revision(held_revision());
    for (const std::string& name : receivers)
        send(name, message);
}

void config_relay::implementation::confirm_soon()
{
    if (m_confirmation_is_soon)
        return;
    m_confirmation_is_soon = true;
    m_timers.cancel(m_confirmation_timer);
    const auto spread = static_cast<std::uint64_t>(confirmation_spread.count());
    m_confirmation_timer =
        m_timers.schedule(duration{static_cast<std::int64_t>(m_random.uniform(spread))}, [this] { confirm(); });
}

void config_relay::implementation::confirm()
{
    m_confirmation_is_soon = false;
    m_confirmation_timer = m_timers.schedule(confirmation_period, [this] { confirm(); });
    config_message message;
    message.mutable_confirmation()->set_revision(m_view.complete_revision());
    for (const std::string& name : m_tree.watchers_of(m_settings.domain)) {
        if (name != m_settings.node)
            send(name, message);
    }
}

void config_relay::implementation::handle_confirmation(std::string_view from, std::int64_t revision)
{
    if (!m_tree.is_watcher() || m_members.find(from) == nullptr || !revision_allowed(revision))
        return;
    std::int64_t& confirmed = m_confirmed[std::string(from)];
    confirmed = std::max(confirmed, revision);
}

std::int64_t config_relay::implementation::confirmed_by_domain()
{
    std::int64_t lowest = m_view.complete_revision();
    for (const member& record : m_members.members()) {
        const bool counts = record.location.failure_domain == m_settings.domain && record.id.name != m_settings.node;
        if (!counts)
            continue;
        const auto it = m_confirmed.find(record.id.name);
        lowest = std::min(lowest, it == m_confirmed.end() ? 0 : it->second);
    }
    return lowest;
}

unconfirmed_parts config_relay::implementation::unconfirmed(std::int64_t revision)
{
    unconfirmed_parts parts;
    for (const member& record : m_members.members()) {
        const bool in_domain = record.location.failure_domain == m_settings.domain;
        if (!in_domain || (!m_tree.is_watcher() && record.id.name != m_settings.node))
            continue;
        const auto it = m_confirmed.find(record.id.name);
        std::int64_t confirmed = it == m_confirmed.end() ? 0 : it->second;
        if (record.id.name == m_settings.node)
            confirmed = m_view.complete_revision();
        if (confirmed < revision)
            parts.nodes.push_back(record.id.name);
    }
    std::sort(parts.nodes.begin(), parts.nodes.end());
    std::set<std::string, std::less<>> silent(m_settings.domains.begin(), m_settings.domains.end());
    silent.insert(m_settings.domain);
    for (const domain_statement& statement : statements()) {
        if (statement.confirmed_revision >= revision)
            silent.erase(statement.domain);
    }
    parts.domains.assign(silent.begin(), silent.end());
    return parts;
}

// ---- Public class ----

config_relay::config_relay(config_relay_settings settings, timer_service& timers, random_source& random,
                           control_link& link, key_value_store& store, member_directory& members, config_view& view)
    : m_implementation(
          std::make_unique<implementation>(std::move(settings), timers, random, link, store, members, view))
{
}

config_relay::~config_relay() = default;

bool config_relay::is_watcher() const
{
    return m_implementation->tree().is_watcher();
}

std::vector<std::string> config_relay::watchers(std::string_view domain) const
{
    return m_implementation->tree().watchers_of(domain);
}

std::vector<std::string> config_relay::parents() const
{
    return m_implementation->tree().parents();
}

bool config_relay::ready() const
{
    return m_implementation->ready();
}

std::optional<duration> config_relay::age() const
{
    return m_implementation->age().age();
}

bool config_relay::keyed_requests_allowed() const
{
    return m_implementation->keyed_requests_allowed();
}

void config_relay::set_view_limit(duration limit)
{
    m_implementation->set_view_limit(limit);
}

std::vector<domain_statement> config_relay::statements() const
{
    return m_implementation->statements();
}

unconfirmed_parts config_relay::unconfirmed(std::int64_t revision) const
{
    return m_implementation->unconfirmed(revision);
}

void config_relay::accept(config_document document)
{
    m_implementation->accept(std::move(document));
}

void config_relay::store_reached()
{
    m_implementation->on_store_reached();
}

void config_relay::on_message(std::string_view from, std::string_view payload)
{
    m_implementation->receive(from, payload);
}

} // namespace mulberry
