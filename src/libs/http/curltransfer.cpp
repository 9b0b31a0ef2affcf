#include "libs/http/curltransfer.h"

#include "libs/base/asyncerror.h"
#include "libs/http/httpfields.h"
#include "libs/memory/receivebuffer.h"

#include <algorithm>

#include <fmt/format.h>

namespace mulberry::detail {

namespace {

constexpr long first_status = 100;
constexpr long status_switching_protocols = 101;
constexpr long first_final_status = 200;
constexpr long last_status = 599;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

struct curl_transfer::callbacks {
    static curl_transfer& self(void* data) { return *static_cast<curl_transfer*>(data); }

    static int before_request(void* data, char*, char*, int, int)
    {
        // libcurl resends a request if a reused connection is lost before any byte of the response, although the server
        // may have received the first copy. The second attempt is aborted here.
        if (self(data).m_may_be_sent)
            return CURL_PREREQFUNC_ABORT;
        self(data).m_may_be_sent = true;
        return CURL_PREREQFUNC_OK;
    }

    static std::size_t header(char* bytes, std::size_t size, std::size_t count, void* data)
    {
        return self(data).handle_field_line({bytes, size * count}) ? size * count : 0;
    }

    static std::size_t body(char* bytes, std::size_t size, std::size_t count, void* data)
    {
        return self(data).handle_body_piece({bytes, size * count}) ? size * count : 0;
    }
};

curl_transfer::curl_transfer(http_call_id id, http_request request, const curl_client_settings& settings,
                             piece_handler on_piece, memory_reservation reservation)
    : m_id(id), m_request(std::move(request)), m_settings(settings), m_on_piece(std::move(on_piece)),
      m_handle(curl_easy_init()), m_reservation(std::move(reservation))
{
}

bool curl_transfer::prepare()
{
    if (!m_handle || !is_token(m_request.method) || !prepare_fields())
        return false;
    CURL* handle = m_handle.get();
    curl_easy_setopt(handle, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    // Proxy settings of the environment must not redirect traffic within a deployment.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, callbacks::before_request);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, callbacks::header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, callbacks::body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    prepare_body();
    prepare_limits();
    return true;
}

bool curl_transfer::prepare_fields()
{
    curl_slist* list = nullptr;
    const auto append = [&list](const std::string& line) {
        curl_slist* longer = curl_slist_append(list, line.c_str());
        list = longer == nullptr ? list : longer;
    };
    bool valid = true;
    for (const auto& [name, value] : m_request.headers) {
        valid = valid && is_token(name) && is_field_value(value);
        if (is_connection_field(name))
            continue;
        // libcurl omits a field given as "Name:" and sends an empty field for "Name;".
        append(trim(value).empty() ? name + ";" : fmt::format("{}: {}", name, value));
    }
    // A line without a value keeps libcurl from adding its own default for the field.
    for (const char* name : {"Accept", "Content-Type", "User-Agent"}) {
        if (std::ranges::none_of(m_request.headers,
                                 [name](const auto& field) { return is_same_name(field.first, name); }))
            append(std::string(name) + ":");
    }
    append("Expect:");
    m_field_list.reset(list);
    curl_easy_setopt(m_handle.get(), CURLOPT_HTTPHEADER, list);
    return valid;
}

void curl_transfer::prepare_body()
{
    CURL* handle = m_handle.get();
    const std::string& method = m_request.method;
    if (method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!m_request.body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, m_request.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void curl_transfer::prepare_limits()
{
    CURL* handle = m_handle.get();
    if (m_request.timeout.count() > 0) {
        const auto limit = std::chrono::ceil<std::chrono::milliseconds>(m_request.timeout);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(limit.count()));
    }
    const auto connect_limit = std::chrono::ceil<std::chrono::milliseconds>(m_settings.connect_timeout);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect_limit.count()));
}

bool curl_transfer::handle_field_line(std::string_view line)
{
    // Lines after the header block of the final response are trailers and are ignored.
    if (m_header_complete)
        return true;
    m_header_bytes += line.size();
    if (m_header_bytes > m_settings.max_header_bytes) {
        m_limit_exceeded = true;
        return false;
    }
    if (line.starts_with("HTTP/")) {
        m_response.headers.clear();
        return true;
    }
    if (trim(line).empty())
        return handle_header_end();
    // A line that begins with a blank would continue the previous one; its beginning is no field name.
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = colon == std::string_view::npos ? std::string_view() : trim(line.substr(colon + 1));
    if (colon == std::string_view::npos || !is_token(name) || !is_field_value(value))
        return false;
    m_response.headers.emplace_back(name, value);
    return true;
}

bool curl_transfer::handle_header_end()
{
    long status = 0;
    curl_easy_getinfo(m_handle.get(), CURLINFO_RESPONSE_CODE, &status);
    m_response.status = static_cast<int>(status);
    m_header_complete = status >= first_final_status && status <= last_status;
    const bool is_interim =
        status >= first_status && status < first_final_status && status != status_switching_protocols;
    return m_header_complete || is_interim;
}

bool curl_transfer::handle_body_piece(std::string_view piece)
{
    if (m_on_piece) {
        m_on_piece(piece);
        return true;
    }
    const std::size_t received = m_body.size() + piece.size();
    if (received > m_settings.max_response_bytes || !m_reservation.resize(received)) {
        m_limit_exceeded = true;
        return false;
    }
    make_room(m_body, piece.size(), m_settings.max_response_bytes);
    m_body += piece;
    return true;
}

bool curl_transfer::is_end_announced() const
{
    if (m_request.method == "HEAD" || m_response.status == 204 || m_response.status == 304)
        return true;
    const body_framing framing = framing_of(m_response.headers);
    return framing == body_framing::length || framing == body_framing::chunked;
}

std::optional<http_error> curl_transfer::error_of(CURLcode code) const
{
    if (!m_may_be_sent)
        return http_error::not_sent;
    if (m_limit_exceeded)
        return http_error::too_large;
    if (code == CURLE_OPERATION_TIMEDOUT)
        return http_error::timed_out;
    if (code == CURLE_OK && m_header_complete)
        return is_end_announced() ? std::nullopt : std::optional(http_error::truncated);
    return m_header_complete ? http_error::truncated : http_error::connection_lost;
}

leaf::result<http_response> curl_transfer::result(CURLcode code)
{
    if (const std::optional<http_error> error = error_of(code))
        return captured_error<http_response>(*error);
    m_response.body = message_body(std::move(m_body), std::move(m_reservation));
    return std::move(m_response);
}

} // namespace mulberry::detail
