#include "plugins/account/decisionlog.h"

#include "plugins/account/recordstore.h"

#include "libs/base/log.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace mulberry {

namespace {

using account_messages::account_message;

constexpr std::string_view log_part = "account";
constexpr std::size_t max_payload_bytes = 262'144;
constexpr int max_records_per_message = 1'000;
constexpr int max_lost_per_message = 64;
/// An explanation queries this many members per interval, so that the responses of a large fleet do not arrive all at
/// once.
constexpr std::size_t members_per_batch = 32;
constexpr duration batch_interval{std::chrono::milliseconds(50)};
/// Lost ranges that are this close in time to the records of a request may have included further records of it.
constexpr std::chrono::minutes lost_margin{1};
/// Typical size of an encoded record in a batch, without its names.
constexpr std::size_t typical_record_bytes = 70;

} // namespace

class decision_log::implementation {
public:
    implementation(decision_log_settings settings, timer_service& timers, control_link& link,
                   const member_directory& members);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    const detail::record_store& store() const { return m_store; }
    void record(const decision_record& decision);
    std::vector<lost_records> lost() const;
    void explain(std::string_view request_id, std::function<void(explanation)> done);
    void receive(std::string_view from, std::string_view payload);

private:
    struct pending_explanation {
        std::string request_id;
        std::vector<std::string> unqueried_members;
        std::set<std::string, std::less<>> pending_members;
        explanation result;
        std::function<void(explanation)> done;
        timer_id batch_timer = 0;
        timer_id deadline_timer = 0;
    };

    void send_copies();
    std::string copy_receiver() const;
    void query_next_batch(std::uint64_t sequence);
    void finish(std::uint64_t sequence);
    void handle_copies(std::string_view from, const account_messages::copies& copies);
    void handle_request(std::string_view from, const account_messages::explain_request& request);
    void handle_reply(std::string_view from, const account_messages::explain_reply& reply);

    const decision_log_settings m_settings;
    timer_service& m_timers;
    control_link& m_link;
    const member_directory& m_members;
    detail::record_store m_store;
    std::vector<decision_record> m_copy_queue;
    lost_records m_uncopied_range;
    /// The refusals that each peer reported as not copied to this node.
    std::map<std::string, lost_records, std::less<>> m_peers_uncopied_ranges;
    std::map<std::uint64_t, pending_explanation> m_explanations;
    std::uint64_t m_last_sequence = 0;
    periodic_timer m_copy_timer;
};

decision_log::implementation::implementation(decision_log_settings settings, timer_service& timers, control_link& link,
                                             const member_directory& members)
    : m_settings(std::move(settings)), m_timers(timers), m_link(link), m_members(members),
      m_store(m_settings.max_bytes), m_copy_timer(timers, m_settings.copy_period, [this] { send_copies(); })
{
}

decision_log::implementation::~implementation()
{
    for (const auto& [sequence, pending] : m_explanations) {
        m_timers.cancel(pending.batch_timer);
        m_timers.cancel(pending.deadline_timer);
    }
}

void decision_log::implementation::record(const decision_record& decision)
{
    m_store.add(decision);
    // A call and its response carry decisions between entry and guard. A refusal at the entry makes no call, so it has
    // to be copied separately.
    const bool is_entry_refusal = decision.role == hop_role::entry && decision.reason && decision.attempts == 0;
    if (!is_entry_refusal)
        return;
    if ((m_copy_queue.size() + 1) * typical_record_bytes <= m_settings.max_copy_bytes) {
        m_copy_queue.push_back(decision);
        return;
    }
    m_uncopied_range.add({m_settings.node, decision.received, decision.received, 1, true});
}

std::vector<lost_records> decision_log::implementation::lost() const
{
    std::vector<lost_records> ranges = m_store.lost();
    for (lost_records& range : ranges)
        range.node = m_settings.node;
    if (m_settings.started != wall_time{})
        ranges.push_back({m_settings.node, wall_time{}, m_settings.started, 0, true});
    return ranges;
}

// ---- Copies ----

/// Selects the serving member with the highest rendezvous hash. Members in other failure domains of the same region are
/// preferred, then members of the same failure domain.
std::string decision_log::implementation::copy_receiver() const
{
    const member* self = m_members.find(m_settings.node);
    std::tuple<int, std::uint64_t> best_rank{-1, 0};
    std::string name;
    const std::uint64_t seed = XXH3_64bits(m_settings.node.data(), m_settings.node.size());
    for (const member& each : m_members.members()) {
        if (each.id.name == m_settings.node || each.state != member_state::serving)
            continue;
        const bool same_region = self != nullptr && each.location.region == self->location.region;
        const bool same_domain = self != nullptr && each.location.failure_domain == self->location.failure_domain;
        const int preference = same_region ? (same_domain ? 1 : 2) : 0;
        const std::tuple rank{preference, XXH3_64bits_withSeed(each.id.name.data(), each.id.name.size(), seed)};
        if (rank <= best_rank)
            continue;
        best_rank = rank;
        name = each.id.name;
    }
    return name;
}

void decision_log::implementation::send_copies()
{
    if (m_copy_queue.empty())
        return;
    const std::string receiver = copy_receiver();
    if (receiver.empty())
        return m_copy_queue.clear();
    account_message message;
    auto& copies = *message.mutable_copies();
    detail::name_table names(max_records_per_message);
    for (const decision_record& each : m_copy_queue)
        detail::encode(each, names, *copies.add_decisions());
    for (const std::string& name : names.names())
        copies.add_names(name);
    if (m_uncopied_range.records > 0)
        detail::encode(m_uncopied_range, *copies.mutable_not_copied());
    m_copy_queue.clear();
    m_uncopied_range = {};
    m_link.send(receiver, control_channel::account, message.SerializeAsString());
}

// ---- Explanations ----

void decision_log::implementation::explain(std::string_view request_id, std::function<void(explanation)> done)
{
    const std::uint64_t sequence = ++m_last_sequence;
    pending_explanation& pending = m_explanations[sequence];
    pending.request_id = request_id;
    pending.done = std::move(done);
    pending.result.records = m_store.find(request_id);
    pending.result.lost = lost();
    for (const member& each : m_members.members()) {
        if (each.id.name != m_settings.node)
            pending.unqueried_members.push_back(each.id.name);
    }
    pending.deadline_timer = m_timers.schedule(m_settings.explain_timeout, [this, sequence] { finish(sequence); });
    pending.batch_timer = m_timers.schedule(duration{0}, [this, sequence] { query_next_batch(sequence); });
}

void decision_log::implementation::query_next_batch(std::uint64_t sequence)
{
    pending_explanation& pending = m_explanations.at(sequence);
    account_message message;
    message.mutable_request()->set_sequence(sequence);
    message.mutable_request()->set_request_id(pending.request_id);
    const std::string payload = message.SerializeAsString();
    for (std::size_t i = 0; i < members_per_batch && !pending.unqueried_members.empty(); ++i) {
        const std::string name = std::move(pending.unqueried_members.back());
        pending.unqueried_members.pop_back();
        pending.pending_members.insert(name);
        m_link.send(name, control_channel::account, payload);
    }
    if (pending.unqueried_members.empty() && pending.pending_members.empty())
        return finish(sequence);
    pending.batch_timer = 0;
    if (!pending.unqueried_members.empty())
        pending.batch_timer = m_timers.schedule(batch_interval, [this, sequence] { query_next_batch(sequence); });
}

void decision_log::implementation::finish(std::uint64_t sequence)
{
    const auto it = m_explanations.find(sequence);
    m_timers.cancel(it->second.batch_timer);
    m_timers.cancel(it->second.deadline_timer);
    pending_explanation finished = std::move(it->second);
    m_explanations.erase(it);
    explanation& result = finished.result;
    result.silent_nodes.assign(finished.pending_members.begin(), finished.pending_members.end());
    result.silent_nodes.insert(result.silent_nodes.end(), finished.unqueried_members.begin(),
                               finished.unqueried_members.end());
    std::sort(result.silent_nodes.begin(), result.silent_nodes.end());
    const auto order = [](const decision_record& each) {
        return std::tuple(each.hop, each.role, std::string_view(each.node), each.received, each.attempts);
    };
    std::sort(result.records.begin(), result.records.end(),
              [&](const decision_record& a, const decision_record& b) { return order(a) < order(b); });
    const auto duplicates = std::unique(result.records.begin(), result.records.end());
    result.records.erase(duplicates, result.records.end());
    if (!result.records.empty()) {
        const auto received_earlier = [](const decision_record& a, const decision_record& b) {
            return a.received < b.received;
        };
        const auto [first, last] = std::minmax_element(result.records.begin(), result.records.end(), received_earlier);
        std::erase_if(result.lost, [from = first->received - lost_margin, until = last->received + lost_margin](
                                       const lost_records& range) { return range.until < from || range.from > until; });
    }
    finished.done(std::move(result));
}

// ---- Messages ----

void decision_log::implementation::receive(std::string_view from, std::string_view payload)
{
    account_message message;
    const bool parsed =
        payload.size() <= max_payload_bytes && message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (!parsed || m_members.find(from) == nullptr) {
        log_debug(log_part, "Dropped a message from {}: it is too large or malformed, or the sender is not a member.",
                  from);
        return;
    }
    switch (message.body_case()) {
    case account_message::kCopies:
        return handle_copies(from, message.copies());
    case account_message::kRequest:
        return handle_request(from, message.request());
    case account_message::kReply:
        return handle_reply(from, message.reply());
    case account_message::BODY_NOT_SET:
        return;
    }
}

namespace {

/// Returns a function that looks up a number in the name table of a message.
template <typename Message>
auto names_of(const Message& message)
{
    return [&message](std::uint32_t number) -> std::string_view {
        if (number == 0 || number > static_cast<std::uint32_t>(message.names_size()))
            return {};
        const std::string& name = message.names(static_cast<int>(number - 1));
        return std::string_view(name).substr(0, detail::max_name_bytes);
    };
}

} // namespace

void decision_log::implementation::handle_copies(std::string_view from, const account_messages::copies& copies)
{
    if (copies.decisions_size() > max_records_per_message)
        return;
    for (const auto& encoded : copies.decisions()) {
        const auto copied = detail::decode(encoded, names_of(copies));
        // A node may copy only its own decisions.
        if (copied && copied->node == from)
            m_store.add(*copied);
    }
    if (copies.has_not_copied())
        m_peers_uncopied_ranges[std::string(from)].add(detail::decode(copies.not_copied(), from));
}

void decision_log::implementation::handle_request(std::string_view from,
                                                  const account_messages::explain_request& request)
{
    account_message message;
    auto& reply = *message.mutable_reply();
    reply.set_sequence(request.sequence());
    detail::name_table names(max_records_per_message);
    for (const decision_record& found : m_store.find(request.request_id())) {
        if (reply.decisions_size() < max_records_per_message)
            detail::encode(found, names, *reply.add_decisions());
    }
    const auto add_lost = [&](const lost_records& range) {
        detail::encode(range, *reply.add_lost());
        reply.add_lost_nodes(names.number_of(range.node));
    };
    for (const lost_records& range : lost())
        add_lost(range);
    for (const auto& [node, range] : m_peers_uncopied_ranges) {
        // The range is reported only after the peer has left the fleet, since until then it can respond with the
        // records itself.
        if (m_members.find(node) == nullptr && reply.lost_size() < max_lost_per_message) {
            lost_records peer_range = range;
            peer_range.node = node;
            add_lost(peer_range);
        }
    }
    for (const std::string& name : names.names())
        reply.add_names(name);
    m_link.send(from, control_channel::account, message.SerializeAsString());
}

void decision_log::implementation::handle_reply(std::string_view from, const account_messages::explain_reply& reply)
{
    const auto it = m_explanations.find(reply.sequence());
    const bool expected = it != m_explanations.end() && it->second.pending_members.contains(from);
    if (!expected || reply.decisions_size() > max_records_per_message || reply.lost_size() > 2 * max_lost_per_message)
        return;
    pending_explanation& pending = it->second;
    for (const auto& encoded : reply.decisions()) {
        auto found = detail::decode(encoded, names_of(reply));
        if (found && found->request_id == pending.request_id)
            pending.result.records.push_back(std::move(*found));
    }
    for (int i = 0; i < std::min(reply.lost_size(), reply.lost_nodes_size()); ++i)
        pending.result.lost.push_back(detail::decode(reply.lost(i), names_of(reply)(reply.lost_nodes(i))));
    pending.pending_members.erase(pending.pending_members.find(from));
    if (pending.pending_members.empty() && pending.unqueried_members.empty())
        finish(reply.sequence());
}

// ---- Public class ----

decision_log::decision_log(decision_log_settings settings, timer_service& timers, control_link& link,
                           const member_directory& members)
    : m_implementation(std::make_unique<implementation>(std::move(settings), timers, link, members))
{
}

decision_log::~decision_log() = default;

void decision_log::record(const decision_record& decision)
{
    m_implementation->record(decision);
}

std::vector<decision_record> decision_log::find(std::string_view request_id) const
{
    return m_implementation->store().find(request_id);
}

std::vector<lost_records> decision_log::lost() const
{
    return m_implementation->lost();
}

void decision_log::explain(std::string_view request_id, std::function<void(explanation)> done)
{
    m_implementation->explain(request_id, std::move(done));
}

std::size_t decision_log::bytes() const
{
    return m_implementation->store().bytes();
}

std::size_t decision_log::size() const
{
    return m_implementation->store().size();
}

void decision_log::on_message(std::string_view from, std::string_view payload)
{
    m_implementation->receive(from, payload);
}

} // namespace mulberry
