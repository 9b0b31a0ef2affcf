#pragma once

#include "plugins/account/decisionrecord.h"
#include "plugins/account/lostrecords.h"
#include "plugins/account/messages.pb.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mulberry::detail {

constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t max_name_bytes = 255;

/// Assigns numbers to names, starting at 1. The empty name has number 0. The number of names is limited.
class name_table {
public:
    explicit name_table(std::size_t max_names) : m_max_names(max_names) {}

    /// The number of a name, which is truncated to max_name_bytes. If the table is full, a new name gets the number of
    /// the placeholder "(not kept)".
    std::uint32_t number_of(std::string_view name);
    /// The name with this number; empty if the number is unknown.
    std::string_view name_of(std::uint32_t number) const;
    const std::vector<std::string>& names() const { return m_names; }
    /// Memory of the table in bytes, approximately.
    std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_max_names;
    std::vector<std::string> m_names;
    std::unordered_map<std::string, std::uint32_t> m_numbers;
    std::size_t m_bytes = 0;
};

void encode(const decision_record& record, name_table& names, account_messages::decision& out);

/// Decodes a record, with the names from the table of a message or of the store. Returns an empty optional if the
/// record is malformed.
template <typename NameOf>
std::optional<decision_record> decode(const account_messages::decision& in, const NameOf& name_of);

void encode(const lost_records& lost, account_messages::lost_range& out);
lost_records decode(const account_messages::lost_range& in, std::string_view node);

/// Whether the request id and the numeric fields are within their bounds.
bool fields_allowed(const account_messages::decision& in);
void decode_numbers(const account_messages::decision& in, decision_record& out);

template <typename NameOf>
std::optional<decision_record> decode(const account_messages::decision& in, const NameOf& name_of)
{
    if (!fields_allowed(in))
        return std::nullopt;
    decision_record record;
    decode_numbers(in, record);
    record.node = name_of(in.node());
    record.peer = name_of(in.peer());
    record.organisation = name_of(in.organisation());
    record.service = name_of(in.service());
    record.route = name_of(in.route());
    record.unknown = name_of(in.unknown());
    return record;
}

} // namespace mulberry::detail
