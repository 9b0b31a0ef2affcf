#pragma once

#include "libs/http/curlhttpclient.h"

#include <memory>
#include <optional>

#include <curl/curl.h>

namespace mulberry::detail {

/// One request on a libcurl easy handle. Used on the client's thread only.
class curl_transfer {
public:
    /// Receives the body's pieces; without it the body is collected into the answer.
    using piece_handler = std::function<void(std::string_view)>;

    curl_transfer(http_call_id id, http_request request, const curl_client_settings& settings, piece_handler on_piece);
    curl_transfer(const curl_transfer&) = delete;
    curl_transfer& operator=(const curl_transfer&) = delete;
    ~curl_transfer() = default;

    /// Sets up the handle; false if the request cannot be expressed in HTTP/1.1.
    bool prepare();

    http_call_id id() const { return m_id; }
    CURL* handle() const { return m_handle.get(); }

    /// The answer or the error after libcurl has finished with the code.
    leaf::result<http_answer> result(CURLcode code);

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
    bool take_field_line(std::string_view line);
    bool take_piece(std::string_view piece);
    std::optional<http_error> error_of(CURLcode code) const;
    bool end_is_known() const;

    http_call_id m_id;
    http_request m_request;
    curl_client_settings m_settings;
    piece_handler m_on_piece;
    std::unique_ptr<CURL, handle_deleter> m_handle;
    std::unique_ptr<curl_slist, list_deleter> m_fields;
    http_answer m_answer;
    std::size_t m_header_bytes = 0;
    bool m_fields_done = false;
    bool m_too_large = false;
    // The request has been handed to a connection, so its bytes may have been written.
    bool m_maybe_sent = false;
};

} // namespace mulberry::detail
