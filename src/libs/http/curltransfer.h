#pragma once

#include "libs/http/curlhttpclient.h"

#include <memory>
#include <optional>

#include <curl/curl.h>

namespace mulberry::detail {

/// One request on a libcurl easy handle. Used on the event loop's thread only.
class curl_transfer {
public:
    /// Receives the pieces of the body; if it is null, the body is collected in the response.
    using piece_handler = std::function<void(std::string_view)>;

    curl_transfer(http_call_id id, http_request request, const curl_client_settings& settings, piece_handler on_piece,
                  memory_reservation reservation);
    curl_transfer(const curl_transfer&) = delete;
    curl_transfer& operator=(const curl_transfer&) = delete;
    ~curl_transfer() = default;

    /// Configures the easy handle; returns false if the request cannot be expressed in HTTP/1.1.
    bool prepare();

    http_call_id id() const { return m_id; }
    CURL* handle() const { return m_handle.get(); }

    /// Returns the response, or the error that follows from libcurl's result code. Called once the transfer has
    /// finished.
    leaf::result<http_response> result(CURLcode code);

private:
    struct handle_deleter {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    };
    struct list_deleter {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };
    struct callbacks;

    bool prepare_fields();
    void prepare_body();
    void prepare_limits();
    bool handle_field_line(std::string_view line);
    bool handle_header_end();
    bool handle_body_piece(std::string_view piece);
    std::optional<http_error> error_of(CURLcode code) const;
    bool is_end_announced() const;

    http_call_id m_id;
    http_request m_request;
    curl_client_settings m_settings;
    piece_handler m_on_piece;
    std::unique_ptr<CURL, handle_deleter> m_handle;
    std::unique_ptr<curl_slist, list_deleter> m_field_list;
    http_response m_response;
    std::string m_body;
    memory_reservation m_reservation;
    std::size_t m_header_bytes = 0;
    bool m_header_complete = false;
    bool m_limit_exceeded = false;
    // True once the request was passed to a connection, so that some of its bytes may have been written.
    bool m_may_be_sent = false;
};

} // namespace mulberry::detail
