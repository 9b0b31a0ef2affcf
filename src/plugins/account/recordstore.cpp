#include "plugins/account/recordstore.h"

#include <algorithm>

#include <xxhash.h>

namespace mulberry::detail {

namespace {

constexpr std::size_t min_chunk_bytes = 1'024;
constexpr std::size_t max_chunk_bytes = 65'536;
constexpr std::size_t chunks_per_store = 64;
/// One name is allowed for this many bytes of the store. Names of about 200 bytes then take at most an eighth of the
/// memory.
constexpr std::size_t bytes_per_name = 1'600;
/// A record takes about 60 bytes. This estimate is lower, so that the index of a chunk rarely fills up before its data.
constexpr std::size_t estimated_record_bytes = 48;

std::uint32_t hash_of(std::string_view request_id)
{
    return static_cast<std::uint32_t>(XXH3_64bits(request_id.data(), request_id.size()));
}

} // namespace

retention_priority retention_priority_of(const decision_record& record)
{
    const bool may_have_run = record.result != outcome::not_run;
    if (record.result == outcome::unknown || !record.unknown.empty() || (!record.idempotent && may_have_run))
        return retention_priority::possible_side_effect;
    return record.reason ? retention_priority::refused : retention_priority::ordinary;
}

std::size_t record_store::chunk::bytes() const
{
    return sizeof(chunk) + data.capacity() + (hashes.capacity() + ends.capacity()) * sizeof(std::uint32_t);
}

record_store::record_store(std::size_t max_bytes)
    : m_max_bytes(max_bytes), m_chunk_bytes(std::clamp(max_bytes / chunks_per_store, min_chunk_bytes, max_chunk_bytes)),
      m_names(max_bytes / bytes_per_name)
{
}

record_store::chunk& record_store::writable_chunk(priority_class& records, std::size_t needed)
{
    const bool fits = !records.chunks.empty() &&
                      records.chunks.back().data.size() + needed <= records.chunks.back().data.capacity() &&
                      records.chunks.back().ends.size() < records.chunks.back().ends.capacity();
    if (fits)
        return records.chunks.back();
    chunk& new_chunk = records.chunks.emplace_back();
    new_chunk.data.reserve(std::max(m_chunk_bytes, needed));
    new_chunk.hashes.reserve(m_chunk_bytes / estimated_record_bytes);
    new_chunk.ends.reserve(m_chunk_bytes / estimated_record_bytes);
    m_chunk_memory += new_chunk.bytes();
    return new_chunk;
}

void record_store::add(const decision_record& record)
{
    account_messages::decision encoded;
    encode(record, m_names, encoded);
    const std::string data = encoded.SerializeAsString();
    chunk& target =
        writable_chunk(m_priority_classes[static_cast<std::size_t>(retention_priority_of(record))], data.size());
    if (target.ends.empty())
        target.from = target.until = record.received;
    target.from = std::min(target.from, record.received);
    target.until = std::max(target.until, record.received);
    target.data += data;
    target.hashes.push_back(hash_of(encoded.request_id()));
    target.ends.push_back(static_cast<std::uint32_t>(target.data.size()));
    ++m_size;
    while (bytes() > m_max_bytes && m_size > 0)
        evict();
}

/// Evicts the oldest chunk of the lowest priority. A chunk that is still being filled is evicted only in the highest
/// priority, when no other chunk is left.
void record_store::evict()
{
    for (std::size_t priority = 0; priority < m_priority_classes.size(); ++priority) {
        priority_class& from = m_priority_classes[priority];
        const bool is_highest = priority + 1 == m_priority_classes.size();
        if (from.chunks.size() < (is_highest ? 1U : 2U))
            continue;
        const chunk& oldest = from.chunks.front();
        from.evicted_range.add({{},
                                oldest.from,
                                oldest.until,
                                oldest.ends.size(),
                                priority != static_cast<std::size_t>(retention_priority::ordinary)});
        m_size -= oldest.ends.size();
        m_chunk_memory -= oldest.bytes();
        from.chunks.pop_front();
        return;
    }
}

void record_store::read(const chunk& from, std::size_t index, std::string_view request_id,
                        std::vector<decision_record>& found) const
{
    const std::size_t begin = index == 0 ? 0 : from.ends[index - 1];
    account_messages::decision encoded;
    if (!encoded.ParseFromArray(from.data.data() + begin, static_cast<int>(from.ends[index] - begin)))
        return;
    if (encoded.request_id() != request_id)
        return;
    if (auto record = decode(encoded, [this](std::uint32_t number) { return m_names.name_of(number); }))
        found.push_back(std::move(*record));
}

std::vector<decision_record> record_store::find(std::string_view request_id) const
{
    std::vector<decision_record> found;
    const std::uint32_t hash = hash_of(request_id);
    for (const priority_class& each : m_priority_classes) {
        for (const chunk& searched : each.chunks) {
            for (std::size_t i = 0; i < searched.hashes.size(); ++i) {
                if (searched.hashes[i] == hash)
                    read(searched, i, request_id, found);
            }
        }
    }
    return found;
}

std::vector<lost_records> record_store::lost() const
{
    std::vector<lost_records> ranges;
    for (const priority_class& each : m_priority_classes) {
        if (each.evicted_range.records > 0)
            ranges.push_back(each.evicted_range);
    }
    return ranges;
}

std::size_t record_store::bytes() const
{
    return m_chunk_memory + m_names.bytes();
}

} // namespace mulberry::detail
