#include "libs/store/etcdwatch.h"

#include "libs/base/asyncerror.h"
#include "libs/store/gatewaycodec.h"

#include <algorithm>

namespace mulberry::detail {

namespace {

/// Allows several values of the maximum size, in base64, in one message.
constexpr std::size_t max_watch_message_bytes = 16UL * 1024 * 1024;

} // namespace

etcd_watch::etcd_watch(std::string prefix, std::int64_t from_revision, watch_callback on_change)
    : m_prefix(std::move(prefix)),
      // The gateway takes a start revision of 0 as "from now on", which would skip earlier changes.
      m_next_revision(std::max<std::int64_t>(from_revision, 1)), m_on_change(std::move(on_change))
{
}

std::optional<store_error> etcd_watch::process_piece(std::string_view piece)
{
    m_started = true;
    while (!m_ended) {
        const std::size_t end = piece.find('\n');
        if (m_buffer.size() + std::min(end, piece.size()) > max_watch_message_bytes)
            return store_error::bad_answer;
        m_buffer += piece.substr(0, end);
        if (end == std::string_view::npos)
            return std::nullopt;
        piece.remove_prefix(end + 1);
        const std::string line = std::exchange(m_buffer, {});
        if (line.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        if (const auto error = process_line(line))
            return error;
    }
    return std::nullopt;
}

std::optional<store_error> etcd_watch::process_line(std::string_view line)
{
    if (gateway::decode_error(line))
        return store_error::unavailable;
    auto message = gateway::decode_watch_message(line);
    if (!message)
        return store_error::bad_answer;
    for (const watch_event& event : message->events) {
        if (!validate_event(event))
            return store_error::bad_answer;
    }
    if (!message->events.empty())
        m_on_change(std::move(message->events));
    if (message->watch_ended)
        return store_error::unavailable;
    return std::nullopt;
}

bool etcd_watch::validate_event(const watch_event& event)
{
    if (event.entry.mod_revision < m_next_revision || !event.entry.key.starts_with(m_prefix))
        return false;
    // Several events of one transaction have the same revision.
    m_next_revision = event.entry.mod_revision;
    return true;
}

void etcd_watch::end(store_error error)
{
    if (std::exchange(m_ended, true))
        return;
    m_on_change(captured_error<std::vector<watch_event>>(error));
}

} // namespace mulberry::detail
