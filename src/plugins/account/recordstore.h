#pragma once

#include "plugins/account/recordcodec.h"

#include <array>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::detail {

/// What is evicted first has the lowest value.
enum class record_value : std::uint8_t { ordinary, refused, precious, count };

/// A refusal is worth more than a plain success; an unknown outcome or a non-idempotent request that may have run is
/// worth most, because a double charge is explained from it.
record_value value_of(const decision_record& record);

/// Records in encoded form in chunks, within a memory bound. The oldest chunk of the lowest value goes first.
class record_store {
public:
    explicit record_store(std::size_t max_bytes);

    void add(const decision_record& record);
    std::vector<decision_record> find(std::string_view request_id) const;
    /// What was evicted, one range for each value of records; the node is left empty.
    std::vector<lost_records> lost() const;
    std::size_t bytes() const;
    std::size_t size() const { return m_size; }

private:
    struct chunk {
        std::string data;
        /// Hash of the request id and end of each record in the data.
        std::vector<std::uint32_t> hashes;
        std::vector<std::uint32_t> ends;
        wall_time from{};
        wall_time until{};

        std::size_t bytes() const;
    };
    struct level {
        std::deque<chunk> chunks;
        lost_records lost;
    };

    chunk& open_chunk(level& of, std::size_t needed);
    void evict();
    void read(const chunk& from, std::size_t index, std::string_view request_id,
              std::vector<decision_record>& found) const;

    std::size_t m_max_bytes;
    std::size_t m_chunk_bytes;
    std::size_t m_chunk_memory = 0;
    std::size_t m_size = 0;
    name_table m_names;
    std::array<level, static_cast<std::size_t>(record_value::count)> m_levels;
};

} // namespace mulberry::detail
