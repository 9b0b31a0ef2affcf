#pragma once

#include "libs/base/timerservice.h"
#include "libs/http/httpclient.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry {

/// The result of the next request: an error, or a response with a status and a body.
struct scripted_response {
    std::optional<http_error> error;
    int status = 200;
    std::string body;
};

/// Completes requests in order from a script; a request that comes when the script is empty gets no response. The test
/// itself sends the pieces of streams and ends them.
class scripted_http_client final : public streaming_http_client {
public:
    explicit scripted_http_client(timer_service& timers) : m_timers(timers) {}

    http_call_id send(http_request request, http_callback done) override;
    void cancel(http_call_id id) override;
    http_call_id stream(http_request request, std::function<void(std::string_view)> on_piece,
                        http_callback done) override;

    /// Sends a piece of the oldest open stream.
    void send_piece(std::string_view text);
    /// Ends the oldest open stream.
    void finish_stream(const scripted_response& response);

    std::deque<scripted_response> script;
    /// All requests, including those of streams, in the order in which they were sent.
    std::vector<http_request> requests;
    std::vector<http_call_id> cancelled_calls;

private:
    struct open_stream {
        std::function<void(std::string_view)> on_piece;
        http_callback done;
    };

    static leaf::result<http_response> result_of(const scripted_response& response);

    timer_service& m_timers;
    std::map<http_call_id, open_stream> m_streams;
    std::map<http_call_id, http_callback> m_calls;
    http_call_id m_last_id = 0;
};

} // namespace mulberry
