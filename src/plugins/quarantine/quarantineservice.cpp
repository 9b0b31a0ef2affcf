#include "plugins/quarantine/quarantineservice.h"

#include "libs/base/log.h"

#include <algorithm>
#include <array>
#include <utility>

#include <xxhash.h>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "quarantine";
/// Number of crashes after which a request runs apart from other suspects.
constexpr std::size_t isolation_crashes = 2;
/// Number of random nodes to which something new is passed on.
constexpr std::size_t gossip_fanout = 4;
/// Time for which changes are collected before they are passed on.
constexpr duration gossip_delay = std::chrono::milliseconds(10);
constexpr duration sync_period = std::chrono::seconds(1);
/// Time after the start in which a node asks others even if it knows nothing.
constexpr duration startup_sync_time = std::chrono::seconds(10);
/// Maximum number of requests in one synchronisation.
constexpr std::size_t max_sync_requests = 128;
/// Number of crashes of the own upstream that are remembered.
constexpr std::size_t max_own_crashes = 64;
/// Retry-After of refused requests. They would only be refused again.
constexpr duration quarantine_retry_after = std::chrono::seconds(60);

/// Moves reports into messages of limited size.
std::vector<quarantine_message> split_into_messages(std::vector<crash_report> reports)
{
    std::vector<quarantine_message> messages;
    std::size_t free = 0;
    for (crash_report& report : reports) {
        const std::size_t size = report.suspects.size() + report.cleared.size();
        if (messages.empty() || size > free) {
            messages.emplace_back();
            free = max_message_fingerprints;
        }
        free -= std::min(free, size);
        messages.back().reports.push_back(std::move(report));
    }
    return messages;
}

} // namespace

quarantine_service::quarantine_service(node_id self, timer_service& timers, random_source& random,
                                       const member_directory& members, control_link& control, key_value_store& store)
    : m_self(std::move(self)), m_timers(timers), m_random(random), m_members(members), m_control(control),
      m_started_at(timers.now()),
      m_archive(timers, random, store, [this](const std::vector<crash_report>& reports) { merge(reports); }),
      m_sync_timer(timers, sync_period, [this] { synchronise(); })
{
    m_archive.start();
}

quarantine_service::~quarantine_service()
{
    m_timers.cancel(m_gossip_timer);
}

std::optional<refusal> quarantine_service::check(request_fingerprint fingerprint)
{
    if (!m_suspects.is_conclusive(fingerprint))
        return std::nullopt;
    return not_run_refusal(refusal_reason::request_quarantined, quarantine_retry_after);
}

bool quarantine_service::needs_isolation(request_fingerprint fingerprint) const
{
    return m_suspects.crash_count(fingerprint) >= isolation_crashes;
}

void quarantine_service::on_completed(request_fingerprint fingerprint)
{
    if (fingerprint == 0)
        return;
    m_completions.add(fingerprint, m_timers.now());
    if (!m_suspects.clear(fingerprint))
        return;
    log_info(log_part, "Request {:016x} is cleared: an upstream has completed it.", fingerprint);
    schedule_gossip(fingerprint);
}

void quarantine_service::on_upstream_crashed(std::span<const request_fingerprint> running)
{
    const std::string name = to_string(m_self);
    const time_point now = m_timers.now();
    const request_fingerprint isolated = isolated_suspect(running);
    detail::suspected_run run;
    run.crash = std::max<crash_id>(XXH3_64bits_withSeed(name.data(), name.size(), ++m_crashes), 1);
    run.crashed_at = now;
    m_own_crashes.push_back(run.crash);
    if (m_own_crashes.size() > max_own_crashes)
        m_own_crashes.pop_front();
    std::vector<request_fingerprint> suspected;
    for (const request_fingerprint fingerprint : running) {
        if (fingerprint == 0 || m_completions.contains(fingerprint, now))
            continue;
        run.fingerprint = fingerprint;
        run.is_isolated = fingerprint == isolated;
        if (suspected.size() < max_message_fingerprints && m_suspects.add_crash(run, now))
            suspected.push_back(fingerprint);
    }
    on_suspected(suspected);
}

request_fingerprint quarantine_service::isolated_suspect(std::span<const request_fingerprint> running) const
{
    request_fingerprint found = 0;
    for (const request_fingerprint fingerprint : running) {
        if (!needs_isolation(fingerprint) || fingerprint == found)
            continue;
        if (found != 0)
            return 0;
        found = fingerprint;
    }
    return found;
}

void quarantine_service::on_suspected(std::span<const request_fingerprint> fingerprints)
{
    m_suspects.update_conclusions();
    for (const request_fingerprint fingerprint : fingerprints) {
        schedule_gossip(fingerprint);
        const std::size_t crashes = m_suspects.crash_count(fingerprint);
        if (m_suspects.is_conclusive(fingerprint)) {
            log_warning(log_part, "Request {:016x} is refused: {} upstreams crashed while running it.", fingerprint,
                        crashes);
            save(fingerprint);
        }
        else if (crashes >= isolation_crashes) {
            log_info(log_part, "Request {:016x} runs apart: {} upstreams crashed while running it.", fingerprint,
                     crashes);
        }
    }
}

void quarantine_service::save(request_fingerprint fingerprint)
{
    const std::array<request_fingerprint, 1> saved{fingerprint};
    auto reports = m_suspects.reports(saved, m_timers.now());
    const bool is_own = std::ranges::any_of(reports, [this](const crash_report& report) {
        return std::ranges::find(m_own_crashes, report.id) != m_own_crashes.end();
    });
    if (is_own)
        m_archive.save(fingerprint, std::move(reports));
}

void quarantine_service::on_message(std::string_view from, std::string_view payload)
{
    const auto message = decode_quarantine_message(payload);
    if (!message)
        return log_warning(log_part, "Ignoring a malformed message from {}.", from);
    merge(message->reports);
    if (message->kind == quarantine_message_kind::gossip || message->digest == m_suspects.digest())
        return;
    auto messages = split_into_messages(m_suspects.reports_of_repeated(max_sync_requests, m_timers.now()));
    if (message->kind == quarantine_message_kind::sync_request) {
        // The sender compares the digests once it has all reports, so only the last message has one.
        if (messages.empty())
            messages.emplace_back();
        messages.back().kind = quarantine_message_kind::sync_response;
        messages.back().digest = m_suspects.digest();
    }
    for (const quarantine_message& each : messages)
        send(from, each);
}

void quarantine_service::merge(std::span<const crash_report> reports)
{
    std::vector<request_fingerprint> suspected;
    for (const crash_report& report : reports)
        merge(report, suspected);
    on_suspected(suspected);
}

void quarantine_service::merge(const crash_report& report, std::vector<request_fingerprint>& suspected)
{
    if (report.id == 0 || report.age > detail::suspect_table::conclusive_retention)
        return;
    const time_point now = m_timers.now();
    detail::suspected_run run;
    run.crash = report.id;
    run.crashed_at = now - report.age;
    for (const request_fingerprint fingerprint : report.cleared) {
        run.fingerprint = fingerprint;
        if (m_suspects.add_cleared(run, now))
            schedule_gossip(fingerprint);
    }
    for (const request_fingerprint fingerprint : report.suspects) {
        run.fingerprint = fingerprint;
        run.is_isolated = fingerprint == report.isolated_suspect;
        if (!m_suspects.add_crash(run, now))
            continue;
        if (m_completions.contains(fingerprint, now))
            m_suspects.clear(fingerprint);
        suspected.push_back(fingerprint);
    }
}

void quarantine_service::schedule_gossip(request_fingerprint fingerprint)
{
    m_changed.insert(fingerprint);
    if (m_gossip_timer == 0)
        m_gossip_timer = m_timers.schedule(gossip_delay, [this] { gossip(); });
}

void quarantine_service::gossip()
{
    m_gossip_timer = 0;
    const std::vector<request_fingerprint> changed(m_changed.begin(), m_changed.end());
    m_changed.clear();
    const auto messages = split_into_messages(m_suspects.reports(changed, m_timers.now()));
    for (const std::string& node : random_members(gossip_fanout)) {
        for (const quarantine_message& message : messages)
            send(node, message);
    }
}

void quarantine_service::synchronise()
{
    const time_point now = m_timers.now();
    m_suspects.expire(now);
    const std::uint64_t digest = m_suspects.digest();
    if (digest == 0 && now - m_started_at > startup_sync_time)
        return;
    quarantine_message request;
    request.kind = quarantine_message_kind::sync_request;
    request.digest = digest;
    for (const std::string& node : random_members(1))
        send(node, request);
}

void quarantine_service::send(std::string_view node, const quarantine_message& message)
{
    m_control.send(node, control_channel::quarantine, encode(message));
}

std::vector<std::string> quarantine_service::random_members(std::size_t count)
{
    std::vector<std::string> names;
    for (const member& each : m_members.members()) {
        if (each.id.name != m_self.name)
            names.push_back(each.id.name);
    }
    count = std::min(count, names.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(names[i], names[i + m_random.uniform(names.size() - i)]);
    names.resize(count);
    return names;
}

} // namespace mulberry
