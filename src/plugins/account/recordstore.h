#pragma once

#include "plugins/account/recordcodec.h"

#include <array>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::detail {

/// Records of the lowest priority are evicted first.
enum class retention_priority : std::uint8_t { ordinary, refused, possible_side_effect, count };

/// The priority of a record. A refusal is retained longer than a plain success. Unknown outcomes and non-idempotent
/// requests that may have run are retained longest, because they are needed to explain a double charge.
retention_priority retention_priority_of(const decision_record& record);

/// Stores encoded records in chunks, within a memory limit. The oldest chunk of the lowest priority is evicted first.
class record_store {
public:
    explicit record_store(std::size_t max_bytes);

    void add(const decision_record& record);
    std::vector<decision_record> find(std::string_view request_id) const;
    /// The evicted records, as one range per priority. The node of the ranges is empty.
    std::vector<lost_records> lost() const;
    /// Memory of the chunks and names in bytes, approximately.
    std::size_t bytes() const;
    /// Number of records.
    std::size_t size() const { return m_size; }

private:
    struct chunk {
        std::string data;
        /// Hash of the request id of each record.
        std::vector<std::uint32_t> hashes;
        /// End of each record in the data, as an offset in bytes.
        std::vector<std::uint32_t> ends;
        /// Time range in which the requests of the records were received.
        wall_time from{};
        wall_time until{};

        std::size_t bytes() const;
    };
    struct priority_class {
        std::deque<chunk> chunks;
        lost_records evicted_range;
    };

    /// The chunk to which the next record of this priority is appended; `needed` is the record's size in bytes.
    chunk& writable_chunk(priority_class& records, std::size_t needed);
    void evict();
    void read(const chunk& from, std::size_t index, std::string_view request_id,
              std::vector<decision_record>& found) const;

    std::size_t m_max_bytes;
    std::size_t m_chunk_bytes;
    std::size_t m_chunk_memory = 0;
    std::size_t m_size = 0;
    name_table m_names;
    std::array<priority_class, static_cast<std::size_t>(retention_priority::count)> m_priority_classes;
};

} // namespace mulberry::detail
