#pragma once

#include "libs/http1/http1server.h"
#include "plugins/entry/entryservice.h"

#include <functional>
#include <unordered_map>

namespace mulberry {

/// Passes the requests of an HTTP server to an entry service, and cancels requests whose callers have disconnected.
class caller_port final : public http1_handler {
public:
    /// Passes a request to the entry service. The returned handle is 0 if the response callback has already been
    /// called.
    using begin_request = std::function<entry_handle(caller_request, entry_service::response_callback)>;

    /// The entry service outlives the port.
    caller_port(entry_service& entry, begin_request begin) : m_entry(entry), m_begin(std::move(begin)) {}

    void on_request(http1_request_id id, http1_request request, response_callback done) override;
    void on_caller_gone(http1_request_id id) override;

private:
    entry_service& m_entry;
    begin_request m_begin;
    std::unordered_map<http1_request_id, entry_handle> m_handles;
};

} // namespace mulberry
