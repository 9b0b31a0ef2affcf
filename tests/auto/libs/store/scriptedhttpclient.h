#pragma once

#include "libs/base/timerservice.h"
#include "libs/http/httpclient.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry {

/// What the next request gets: an error, or an answer with a status and a body.
struct scripted_answer {
    std::optional<http_error> error;
    int status = 200;
    std::string body;
};

/// Answers requests from a list; a request beyond its end is never answered. Streams are driven by hand.
class scripted_http_client final : public streaming_http_client {
public:
    explicit scripted_http_client(timer_service& timers) : m_timers(timers) {}

    http_call_id send(http_request request, http_callback done) override;
    void cancel(http_call_id id) override;
    http_call_id stream(http_request request, std::function<void(std::string_view)> on_piece,
                        http_callback done) override;

    /// Sends a piece of the open stream.
    void piece(std::string_view text);
    /// Ends the open stream.
    void finish_stream(const scripted_answer& answer);

    std::deque<scripted_answer> script;
    /// Requests and streams in the order in which they came.
    std::vector<http_request> requests;
    std::vector<http_call_id> cancelled;

private:
    struct open_stream {
        std::function<void(std::string_view)> on_piece;
        http_callback done;
    };

    static leaf::result<http_answer> result_of(const scripted_answer& answer);

    timer_service& m_timers;
    std::map<http_call_id, open_stream> m_streams;
    std::map<http_call_id, http_callback> m_calls;
    http_call_id m_last_id = 0;
};

} // namespace mulberry
