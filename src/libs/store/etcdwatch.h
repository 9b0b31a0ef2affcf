#pragma once

#include "libs/http/httpclient.h"
#include "libs/store/keyvaluestore.h"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry::detail {

/// State of one watch: splits the stream into messages, validates them and reports their events.
class etcd_watch {
public:
    etcd_watch(std::string prefix, std::int64_t from_revision, watch_callback on_change);

    /// Processes a piece of the stream and reports its events. Returns the error that ends the watch, if any.
    std::optional<store_error> process_piece(std::string_view piece);

    /// Reports the error that ends the watch; nothing is reported after it.
    void end(store_error error);
    /// Ends the watch without a report.
    void cancel() { m_ended = true; }

    bool has_ended() const { return m_ended; }
    const std::string& prefix() const { return m_prefix; }
    /// The revision from which a new stream has to start.
    std::int64_t next_revision() const { return m_next_revision; }
    /// True once a byte of the stream has been received.
    bool has_started() const { return m_started; }

    http_call_id call_id = 0;
    std::size_t endpoint_index = 0;
    /// Endpoints that have not been tried, including the current one.
    std::size_t endpoints_left = 0;

private:
    std::optional<store_error> process_line(std::string_view line);
    /// Checks the key's prefix and the order of revisions, and advances next_revision().
    bool validate_event(const watch_event& event);

    std::string m_prefix;
    std::int64_t m_next_revision;
    watch_callback m_on_change;
    std::string m_buffer;
    bool m_started = false;
    bool m_ended = false;
};

} // namespace mulberry::detail
