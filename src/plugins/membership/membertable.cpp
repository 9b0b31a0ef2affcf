#include "plugins/membership/membertable.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace mulberry::detail {

namespace {

std::tuple<std::string_view, std::string_view> sort_key(const member& record)
{
    return {record.service, record.id.name};
}

} // namespace

std::size_t member_table::bucket_of(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size()) % digest_buckets;
}

std::vector<member>::iterator member_table::position_of(std::string_view service, std::string_view name)
{
    return std::lower_bound(m_members.begin(), m_members.end(), std::tuple(service, name),
                            [](const member& record, const auto& target) { return sort_key(record) < target; });
}

std::span<const member> member_table::members_of(std::string_view service) const
{
    const auto begin = std::lower_bound(m_members.begin(), m_members.end(), service,
                                        [](const member& record, auto target) { return record.service < target; });
    const auto end = std::upper_bound(begin, m_members.end(), service,
                                      [](auto target, const member& record) { return target < record.service; });
    return {begin, end};
}

const member* member_table::find(std::string_view name) const
{
    const auto it = m_states.find(name);
    if (it == m_states.end())
        return nullptr;
    const auto position =
        std::lower_bound(m_members.begin(), m_members.end(), std::tuple(std::string_view(it->second.service), name),
                         [](const member& record, const auto& target) { return sort_key(record) < target; });
    return &*position;
}

const member_table::state* member_table::find_state(std::string_view name) const
{
    const auto it = m_states.find(name);
    return it == m_states.end() ? nullptr : &it->second;
}

record_version member_table::version_of(const member& known) const
{
    return {known.id.incarnation, m_states.find(known.id.name)->second.version_number};
}

void member_table::toggle_digest(const member& record, std::uint64_t version_number)
{
    const std::array<std::uint64_t, 3> fields{record.id.incarnation, version_number,
                                              static_cast<std::uint64_t>(record.state)};
    const std::uint64_t name_hash = XXH3_64bits(record.id.name.data(), record.id.name.size());
    const std::uint64_t hash = XXH3_64bits_withSeed(fields.data(), sizeof fields, name_hash);
    m_buckets[name_hash % digest_buckets] ^= static_cast<std::uint32_t>(hash);
}

std::uint64_t member_table::digest() const
{
    return XXH3_64bits(m_buckets.data(), sizeof m_buckets);
}

void member_table::put(const member& record, std::uint64_t version_number)
{
    const auto it = m_states.find(record.id.name);
    if (it != m_states.end() && it->second.service != record.service)
        remove(record.id.name);
    const auto position = position_of(record.service, record.id.name);
    state& known = m_states[record.id.name];
    if (position != m_members.end() && position->id.name == record.id.name && position->service == record.service) {
        toggle_digest(*position, known.version_number);
        *position = record;
    }
    else {
        m_members.insert(position, record);
    }
    m_suspected_count -= known.suspected_until ? 1 : 0;
    known = {record.service, version_number, std::nullopt, 0};
    toggle_digest(record, version_number);
}

void member_table::set_epoch(std::string_view name, std::uint64_t epoch)
{
    const auto it = m_states.find(name);
    if (it != m_states.end())
        position_of(it->second.service, name)->once_epoch = epoch;
}

void member_table::set_suspicion(std::string_view name, time_point until)
{
    const auto it = m_states.find(name);
    if (it == m_states.end())
        return;
    m_suspected_count += it->second.suspected_until ? 0 : 1;
    it->second.suspected_until = until;
}

void member_table::extend_suspicion(std::string_view name, time_point until)
{
    const auto it = m_states.find(name);
    if (it == m_states.end())
        return;
    it->second.suspected_until = until;
    ++it->second.final_probes;
}

void member_table::postpone_suspicions(duration by)
{
    for (auto& [name, known] : m_states) {
        if (known.suspected_until)
            *known.suspected_until += by;
    }
}

std::vector<std::string> member_table::expired_suspicions(time_point now) const
{
    std::vector<std::string> names;
    if (m_suspected_count == 0)
        return names;
    for (const auto& [name, known] : m_states) {
        if (known.suspected_until && *known.suspected_until <= now)
            names.push_back(name);
    }
    // Sorted because the order of a hash table differs between library versions and test runs must be repeatable.
    std::sort(names.begin(), names.end());
    return names;
}

member member_table::remove(std::string_view name)
{
    const auto it = m_states.find(name);
    const auto position = position_of(it->second.service, name);
    member last = *position;
    toggle_digest(last, it->second.version_number);
    m_suspected_count -= it->second.suspected_until ? 1 : 0;
    m_members.erase(position);
    m_states.erase(it);
    return last;
}

void member_table::add_tombstone(std::string_view name, tombstone added)
{
    m_tombstones.insert_or_assign(std::string(name), std::move(added));
}

const member_table::tombstone* member_table::find_tombstone(std::string_view name) const
{
    const auto it = m_tombstones.find(name);
    return it == m_tombstones.end() ? nullptr : &it->second;
}

void member_table::remove_tombstone(std::string_view name)
{
    const auto it = m_tombstones.find(name);
    if (it != m_tombstones.end())
        m_tombstones.erase(it);
}

std::vector<member_seed> member_table::expire_tombstones(time_point now)
{
    std::vector<member_seed> expired;
    for (auto it = m_tombstones.begin(); it != m_tombstones.end();) {
        if (it->second.expires_at > now) {
            ++it;
            continue;
        }
        expired.push_back({it->first, it->second.address});
        it = m_tombstones.erase(it);
    }
    return expired;
}

} // namespace mulberry::detail
