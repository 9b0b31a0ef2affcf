#pragma once

#include "libs/base/asyncerror.h"
#include "libs/eventloop/eventloop.h"
#include "libs/http/curlhttpclient.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace mulberry {

using boost::asio::ip::tcp;

/// An HTTP client with its event loop. Waiting has no time limit; ctest ends a run that hangs.
struct http_fixture {
    template <typename Condition>
    void run_until(Condition condition)
    {
        while (!condition())
            loop.context().run_one();
    }

    /// Returns status and body, or "error: " and the name of the error.
    static std::string text_of(leaf::result<http_response> result)
    {
        if (result)
            return std::to_string(result->status) + " " + std::string(result->body);
        const auto error = error_of<http_error, void>(std::move(result).error(), http_error::not_sent);
        return "error: " + std::string(to_string(error));
    }

    std::shared_ptr<std::optional<std::string>> start_call(http_request request, http_call_id* id = nullptr)
    {
        auto outcome = std::make_shared<std::optional<std::string>>();
        const http_call_id new_id =
            client->send(std::move(request), [this, outcome](leaf::result<http_response> result) {
                if (*outcome)
                    throw std::logic_error("second response to one request");
                if (result)
                    headers = result->headers;
                *outcome = text_of(std::move(result));
            });
        if (id != nullptr)
            *id = new_id;
        return outcome;
    }

    std::string call(http_request request)
    {
        const auto outcome = start_call(std::move(request));
        run_until([&] { return outcome->has_value(); });
        return **outcome;
    }

    event_loop loop;
    std::unique_ptr<curl_http_client> client = std::make_unique<curl_http_client>(loop);
    // Header fields of the last response.
    http_headers headers;
};

/// Reads up to the end of a header block or of the connection.
inline std::string read_fields(tcp::socket& socket)
{
    std::string text;
    char c = 0;
    boost::system::error_code error;
    while (!text.ends_with("\r\n\r\n") && boost::asio::read(socket, boost::asio::buffer(&c, 1), error) == 1)
        text += c;
    return text;
}

inline void write_text(tcp::socket& socket, std::string_view text)
{
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(text), ignored);
}

/// Reads until the connection ends.
inline std::string read_all(tcp::socket& socket)
{
    std::string text;
    boost::system::error_code ignored;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), ignored);
    return text;
}

} // namespace mulberry
