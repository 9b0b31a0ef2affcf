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
/// An explanation asks this many members at a time, so that the answers of a large fleet do not come at once.
constexpr std::size_t asked_at_once = 32;
constexpr duration asking_interval{std::chrono::milliseconds(50)};
/// Lost ranges this near to the request's records may have held more of them.
constexpr std::chrono::minutes lost_margin{1};
/// Bytes of an encoded record in a batch besides its names.
constexpr std::size_t usual_copy_bytes = 70;

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
    struct open_explanation {
        std::string request_id;
        std::vector<std::string> not_asked;
        std::set<std::string, std::less<>> silent;
        explanation result;
        std::function<void(explanation)> done;
        timer_id asking = 0;
        timer_id deadline = 0;
    };

    void copy_batch();
    std::string copy_receiver() const;
    void ask_some(std::uint64_t sequence);
    void finish(std::uint64_t sequence);
    void handle_copies(std::string_view from, const account_messages::copies& copies);
    void handle_request(std::string_view from, const account_messages::explain_request& request);
    void handle_reply(std::string_view from, const account_messages::explain_reply& reply);

    const decision_log_settings m_settings;
    timer_service& m_timers;
    control_link& m_link;
    const member_directory& m_members;
    detail::record_store m_store;
    std::vector<decision_record> m_to_copy;
    lost_records m_not_copied;
    /// What peers said that they could not copy here.
    std::map<std::string, lost_records, std::less<>> m_peers_not_copied;
    std::map<std::uint64_t, open_explanation> m_explanations;
    std::uint64_t m_last_sequence = 0;
    periodic_timer m_copy_timer;
};

decision_log::implementation::implementation(decision_log_settings settings, timer_service& timers, control_link& link,
                                             const member_directory& members)
    : m_settings(std::move(settings)), m_timers(timers), m_link(link), m_members(members),
      m_store(m_settings.max_bytes), m_copy_timer(timers, m_settings.copy_period, [this] { copy_batch(); })
{
}

decision_log::implementation::~implementation()
{
    for (const auto& [sequence, open] : m_explanations) {
        m_timers.cancel(open.asking);
        m_timers.cancel(open.deadline);
    }
}

void decision_log::implementation::record(const decision_record& decision)
{
    m_store.add(decision);
    // A call and its answer carry the decisions between entry and guard; a refusal at the entry made no call.
    const bool refused_here = decision.role == hop_role::entry && decision.reason && decision.attempts == 0;
    if (!refused_here)
        return;
    if ((m_to_copy.size() + 1) * usual_copy_bytes <= m_settings.max_copy_bytes) {
        m_to_copy.push_back(decision);
        return;
    }
    m_not_copied.add({m_settings.node, decision.received, decision.received, 1, true});
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

/// The member with the highest rendezvous hash, in another failure domain of the region if there is one.
std::string decision_log::implementation::copy_receiver() const
{
    const member* self = m_members.find(m_settings.node);
    std::tuple<int, std::uint64_t> best{-1, 0};
    std::string name;
    const std::uint64_t seed = XXH3_64bits(m_settings.node.data(), m_settings.node.size());
    for (const member& each : m_members.members()) {
        if (each.id.name == m_settings.node || each.state != member_state::serving)
            continue;
        const bool same_region = self != nullptr && each.location.region == self->location.region;
        const bool same_domain = self != nullptr && each.location.failure_domain == self->location.failure_domain;
        const int nearness = same_region ? (same_domain ? 1 : 2) : 0;
        const std::tuple rank{nearness, XXH3_64bits_withSeed(each.id.name.data(), each.id.name.size(), seed)};
        if (rank <= best)
            continue;
        best = rank;
        name = each.id.name;
    }
    return name;
}

void decision_log::implementation::copy_batch()
{
    if (m_to_copy.empty())
        return;
    const std::string receiver = copy_receiver();
    if (receiver.empty())
        return m_to_copy.clear();
    account_message message;
    auto& copies = *message.mutable_copies();
    detail::name_table names(max_records_per_message);
    for (const decision_record& each : m_to_copy)
        detail::encode(each, names, *copies.add_decisions());
    for (const std::string& name : names.names())
        copies.add_names(name);
    if (m_not_copied.records > 0)
        detail::encode(m_not_copied, *copies.mutable_not_copied());
    m_to_copy.clear();
    m_not_copied = {};
    m_link.send(receiver, control_channel::account, message.SerializeAsString());
}

// ---- Explanations ----

void decision_log::implementation::explain(std::string_view request_id, std::function<void(explanation)> done)
{
    const std::uint64_t sequence = ++m_last_sequence;
    open_explanation& open = m_explanations[sequence];
    open.request_id = request_id;
    open.done = std::move(done);
    open.result.records = m_store.find(request_id);
    open.result.lost = lost();
    for (const member& each : m_members.members()) {
        if (each.id.name != m_settings.node)
            open.not_asked.push_back(each.id.name);
    }
    open.deadline = m_timers.schedule(m_settings.explain_timeout, [this, sequence] { finish(sequence); });
    open.asking = m_timers.schedule(duration{0}, [this, sequence] { ask_some(sequence); });
}

void decision_log::implementation::ask_some(std::uint64_t sequence)
{
    open_explanation& open = m_explanations.at(sequence);
    account_message message;
    message.mutable_request()->set_sequence(sequence);
    message.mutable_request()->set_request_id(open.request_id);
    const std::string payload = message.SerializeAsString();
    for (std::size_t i = 0; i < asked_at_once && !open.not_asked.empty(); ++i) {
        const std::string name = std::move(open.not_asked.back());
        open.not_asked.pop_back();
        open.silent.insert(name);
        m_link.send(name, control_channel::account, payload);
    }
    if (open.not_asked.empty() && open.silent.empty())
        return finish(sequence);
    open.asking = 0;
    if (!open.not_asked.empty())
        open.asking = m_timers.schedule(asking_interval, [this, sequence] { ask_some(sequence); });
}

void decision_log::implementation::finish(std::uint64_t sequence)
{
    const auto it = m_explanations.find(sequence);
    m_timers.cancel(it->second.asking);
    m_timers.cancel(it->second.deadline);
    open_explanation ended = std::move(it->second);
    m_explanations.erase(it);
    explanation& result = ended.result;
    result.silent_nodes.assign(ended.silent.begin(), ended.silent.end());
    result.silent_nodes.insert(result.silent_nodes.end(), ended.not_asked.begin(), ended.not_asked.end());
    std::sort(result.silent_nodes.begin(), result.silent_nodes.end());
    const auto order = [](const decision_record& each) {
        return std::tuple(each.hop, each.role, std::string_view(each.node), each.received, each.attempts);
    };
    std::sort(result.records.begin(), result.records.end(),
              [&](const decision_record& a, const decision_record& b) { return order(a) < order(b); });
    const auto same = std::unique(result.records.begin(), result.records.end());
    result.records.erase(same, result.records.end());
    if (!result.records.empty()) {
        const auto earlier = [](const decision_record& a, const decision_record& b) { return a.received < b.received; };
        const auto [first, last] = std::minmax_element(result.records.begin(), result.records.end(), earlier);
        std::erase_if(result.lost, [from = first->received - lost_margin, until = last->received + lost_margin](
                                       const lost_records& range) { return range.until < from || range.from > until; });
    }
    ended.done(std::move(result));
}

// ---- Messages ----

void decision_log::implementation::receive(std::string_view from, std::string_view payload)
{
    account_message message;
    const bool parsed =
        payload.size() <= max_payload_bytes && message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (!parsed || m_members.find(from) == nullptr) {
        log_debug(log_part, "A message from {} is dropped.", from);
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

/// Looks numbers up in the names that came with a message.
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
        // A node copies its own decisions only.
        if (copied && copied->node == from)
            m_store.add(*copied);
    }
    if (copies.has_not_copied())
        m_peers_not_copied[std::string(from)].add(detail::decode(copies.not_copied(), from));
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
    for (const auto& [node, range] : m_peers_not_copied) {
        // While the node itself answers, nothing is lost.
        if (m_members.find(node) == nullptr && reply.lost_size() < max_lost_per_message) {
            lost_records named = range;
            named.node = node;
            add_lost(named);
        }
    }
    for (const std::string& name : names.names())
        reply.add_names(name);
    m_link.send(from, control_channel::account, message.SerializeAsString());
}

void decision_log::implementation::handle_reply(std::string_view from, const account_messages::explain_reply& reply)
{
    const auto it = m_explanations.find(reply.sequence());
    const bool expected = it != m_explanations.end() && it->second.silent.contains(from);
    if (!expected || reply.decisions_size() > max_records_per_message || reply.lost_size() > 2 * max_lost_per_message)
        return;
    open_explanation& open = it->second;
    for (const auto& encoded : reply.decisions()) {
        auto found = detail::decode(encoded, names_of(reply));
        if (found && found->request_id == open.request_id)
            open.result.records.push_back(std::move(*found));
    }
    for (int i = 0; i < std::min(reply.lost_size(), reply.lost_nodes_size()); ++i)
        open.result.lost.push_back(detail::decode(reply.lost(i), names_of(reply)(reply.lost_nodes(i))));
    open.silent.erase(open.silent.find(from));
    if (open.silent.empty() && open.not_asked.empty())
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
