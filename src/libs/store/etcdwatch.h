#pragma once

#include "libs/http/httpclient.h"
#include "libs/store/keyvaluestore.h"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry::detail {

/// State of one watch: splits the stream into messages and checks them.
class etcd_watch {
public:
    etcd_watch(std::string prefix, std::int64_t from_revision, watch_callback on_change);

    /// Takes a piece of the stream and reports its events. Returns the error that ends the watch, if any.
    std::optional<store_error> take(std::string_view piece);

    /// Reports the end; nothing is reported after it.
    void end(store_error error);
    /// Stops reporting.
    void cancel() { m_ended = true; }

    bool ended() const { return m_ended; }
    const std::string& prefix() const { return m_prefix; }
    std::int64_t next_revision() const { return m_next_revision; }
    /// True once a byte of the stream has come.
    bool started() const { return m_started; }

    http_call_id call = 0;
    std::size_t endpoint = 0;
    std::size_t endpoints_left = 0;

private:
    std::optional<store_error> take_line(std::string_view line);
    bool accept(const watch_event& event);

    std::string m_prefix;
    std::int64_t m_next_revision;
    watch_callback m_on_change;
    std::string m_buffer;
    bool m_started = false;
    bool m_ended = false;
};

} // namespace mulberry::detail
