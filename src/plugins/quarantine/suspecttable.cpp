#include "plugins/quarantine/suspecttable.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace mulberry::detail {

namespace {

/// Number of known crashes from which a request is part of the digest.
constexpr std::size_t repeated_crashes = 2;

/// Bijective mixing function (the finaliser of SplitMix64).
std::uint64_t mix(std::uint64_t value)
{
    constexpr std::uint64_t first_factor = 0xbf58476d1ce4e5b9;
    constexpr std::uint64_t second_factor = 0x94d049bb133111eb;
    value = (value ^ (value >> 30U)) * first_factor;
    value = (value ^ (value >> 27U)) * second_factor;
    return value ^ (value >> 31U);
}

} // namespace

std::size_t suspect_table::suspect::crash_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(crashes, &crash::counts));
}

std::size_t suspect_table::suspect::known_crashes() const
{
    return static_cast<std::size_t>(std::ranges::count_if(crashes, [](const crash& each) { return each.id != 0; }));
}

bool suspect_table::suspect::was_isolated() const
{
    return std::ranges::any_of(crashes, [](const crash& each) { return each.counts() && each.is_isolated; });
}

suspect_table::crash* suspect_table::suspect::find(crash_id id)
{
    const auto it = std::ranges::find(crashes, id, &crash::id);
    return it == crashes.end() ? nullptr : &*it;
}

suspect_table::crash* suspect_table::suspect::free_entry()
{
    if (crash* unused = find(0))
        return unused;
    const auto it = std::ranges::find(crashes, true, &crash::is_cleared);
    return it == crashes.end() ? nullptr : &*it;
}

bool suspect_table::suspect::is_expired(time_point now) const
{
    return now - last_crash > (is_conclusive ? conclusive_retention : retention);
}

bool suspect_table::add_crash(const suspected_run& run, time_point now)
{
    if (now - run.crashed_at > conclusive_retention)
        return false;
    suspect& found = find_or_insert(run.fingerprint, now);
    found.last_crash = std::max(found.last_crash, run.crashed_at);
    if (crash* known = found.find(run.crash)) {
        const bool is_new = run.is_isolated && !known->is_isolated;
        known->is_isolated |= run.is_isolated;
        return is_new;
    }
    crash* entry = found.free_entry();
    if (entry == nullptr)
        return false;
    *entry = {run.crash, false, run.is_isolated};
    return true;
}

bool suspect_table::add_cleared(const suspected_run& run, time_point now)
{
    if (now - run.crashed_at > retention)
        return false;
    suspect& found = find_or_insert(run.fingerprint, now);
    found.last_crash = std::max(found.last_crash, run.crashed_at);
    crash* entry = found.find(run.crash);
    if (entry == nullptr) {
        entry = found.find(0);
        if (entry == nullptr)
            return false;
        *entry = {run.crash, true, false};
        return true;
    }
    if (std::exchange(entry->is_cleared, true))
        return false;
    found.is_conclusive &= found.crash_count() >= conclusive_crashes;
    return true;
}

bool suspect_table::clear(request_fingerprint fingerprint)
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end() || it->second.crash_count() == 0)
        return false;
    for (crash& each : it->second.crashes)
        each.is_cleared = each.id != 0;
    it->second.is_conclusive = false;
    return true;
}

void suspect_table::expire(time_point now)
{
    std::erase_if(m_suspects, [now](const auto& each) { return each.second.is_expired(now); });
}

std::size_t suspect_table::crash_count(request_fingerprint fingerprint) const
{
    const auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() ? 0 : it->second.crash_count();
}

bool suspect_table::is_conclusive(request_fingerprint fingerprint) const
{
    const auto it = m_suspects.find(fingerprint);
    return it != m_suspects.end() && it->second.is_conclusive;
}

std::size_t suspect_table::conclusive_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_suspects, [](const auto& each) { return each.second.is_conclusive; }));
}

/// When upstreams crash for a reason of their own, the same crashes are shared by many requests. Such crashes count for
/// a request only if it was isolated.
void suspect_table::update_conclusions()
{
    std::map<crash_id, std::size_t> sharing;
    for (const auto& [fingerprint, each] : m_suspects) {
        if (each.crash_count() < conclusive_crashes)
            continue;
        for (const crash& entry : each.crashes)
            sharing[entry.id] += entry.counts() ? 1 : 0;
    }
    for (auto& [fingerprint, each] : m_suspects) {
        if (each.is_conclusive || each.crash_count() < conclusive_crashes)
            continue;
        const auto unshared = std::ranges::count_if(
            each.crashes, [&sharing](const crash& entry) { return entry.counts() && sharing[entry.id] == 1; });
        each.is_conclusive = each.was_isolated() || static_cast<std::size_t>(unshared) >= conclusive_crashes;
    }
}

suspect_table::suspect& suspect_table::find_or_insert(request_fingerprint fingerprint, time_point now)
{
    const auto it = m_suspects.find(fingerprint);
    if (it != m_suspects.end())
        return it->second;
    if (m_suspects.size() >= max_suspects)
        expire(now);
    if (m_suspects.size() >= max_suspects)
        remove_least_suspicious();
    return m_suspects[fingerprint];
}

void suspect_table::remove_least_suspicious()
{
    const auto rank = [](const auto& each) {
        const suspect& value = each.second;
        return std::tuple(value.is_conclusive, value.crash_count(), value.known_crashes(), value.last_crash);
    };
    m_suspects.erase(std::ranges::min_element(m_suspects, {}, rank));
}

std::vector<crash_report> suspect_table::reports(std::span<const request_fingerprint> fingerprints,
                                                 time_point now) const
{
    std::map<std::pair<crash_id, std::chrono::seconds>, crash_report> reports;
    for (const request_fingerprint fingerprint : fingerprints) {
        const auto it = m_suspects.find(fingerprint);
        if (it == m_suspects.end())
            continue;
        const auto age = std::chrono::floor<std::chrono::seconds>(std::max(now - it->second.last_crash, duration{0}));
        for (const crash& each : it->second.crashes) {
            if (each.id == 0)
                continue;
            crash_report& report = reports[{each.id, age}];
            report.id = each.id;
            report.age = age;
            (each.is_cleared ? report.cleared : report.suspects).push_back(fingerprint);
            if (each.is_isolated)
                report.isolated_suspect = fingerprint;
        }
    }
    std::vector<crash_report> result;
    result.reserve(reports.size());
    for (auto& [key, report] : reports)
        result.push_back(std::move(report));
    return result;
}

std::vector<crash_report> suspect_table::reports_of_repeated(std::size_t max_requests, time_point now) const
{
    std::vector<request_fingerprint> fingerprints;
    for (const auto& [fingerprint, each] : m_suspects) {
        if (each.known_crashes() >= repeated_crashes)
            fingerprints.push_back(fingerprint);
    }
    std::ranges::sort(fingerprints, [this](request_fingerprint a, request_fingerprint b) {
        return std::tuple(is_conclusive(a), crash_count(a), a) > std::tuple(is_conclusive(b), crash_count(b), b);
    });
    fingerprints.resize(std::min(fingerprints.size(), max_requests));
    return reports(fingerprints, now);
}

std::uint64_t suspect_table::digest() const
{
    std::uint64_t result = 0;
    for (const auto& [fingerprint, each] : m_suspects) {
        if (each.known_crashes() < repeated_crashes)
            continue;
        const std::uint64_t crashes = std::min(each.crash_count(), conclusive_crashes);
        result ^= mix(mix(fingerprint) + 2 * crashes + (each.was_isolated() ? 1 : 0));
    }
    return result;
}

} // namespace mulberry::detail
