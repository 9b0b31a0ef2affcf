#pragma once

#include "tools/mulberryctl/operatorsapi.h"

#include <deque>
#include <functional>
#include <map>

namespace mulberry {

/// Fault that the fake daemon injects into a PUT. Only response_lost and unavailable_after_write apply the write.
enum class put_fault : std::uint8_t {
    none,
    not_sent,
    request_lost,
    response_lost,
    unavailable_not_written,
    unavailable_after_write
};

/// In-memory implementation of a daemon's operators' API with fault injection.
class fake_daemon final : public http_transport {
public:
    leaf::result<http_response> call(std::string_view method, std::string_view path, const http_headers& headers,
                                     std::string_view body) override;

    std::map<std::string, stored_document> documents;
    /// Faults of the next PUTs, in order; none after the last one.
    std::deque<put_fault> put_faults;
    /// Called once, before the next PUT is handled, to simulate a concurrent change.
    std::function<void()> before_put;
    /// Responses to the requests for missing confirmations, in order; the last list is returned repeatedly.
    std::deque<std::vector<std::string>> missing_confirmations{{}};
    /// Fixed responses by "METHOD path"; they take precedence over all other behaviour.
    std::map<std::string, http_response> fixed_responses;
    /// Makes every read of a document time out.
    bool reads_fail = false;
    int put_count = 0;
    /// Every request as "METHOD path".
    std::vector<std::string> received_requests;

private:
    leaf::result<http_response> get_document(const std::string& name);
    leaf::result<http_response> put_document(const std::string& name, const http_headers& headers,
                                             std::string_view body);
    http_response write(const std::string& name, std::int64_t expected_revision, std::string_view body);

    std::int64_t m_revision = 100;
};

} // namespace mulberry
