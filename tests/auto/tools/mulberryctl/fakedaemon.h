#pragma once

#include "tools/mulberryctl/operatorsapi.h"

#include <deque>
#include <functional>
#include <map>

namespace mulberry {

/// What the next PUT meets.
enum class put_fault : std::uint8_t {
    none,
    not_sent,
    lost_before,
    lost_after,
    unavailable_not_written,
    unavailable_after
};

/// The operators' API of a daemon in memory, with faults.
class fake_daemon final : public http_transport {
public:
    leaf::result<http_answer> call(std::string_view method, std::string_view path, const http_headers& headers,
                                   std::string_view body) override;

    std::map<std::string, stored_document> documents;
    std::deque<put_fault> put_faults;
    /// Runs once before the next PUT, for a change by someone else.
    std::function<void()> before_put;
    /// Missing confirmations, one list for each question; the last one stays.
    std::deque<std::vector<std::string>> missing{{}};
    /// Fixed answers by "METHOD path", before anything else.
    std::map<std::string, http_answer> fixed;
    bool reads_fail = false;
    int puts = 0;
    std::vector<std::string> paths;

private:
    leaf::result<http_answer> get_document(const std::string& name);
    leaf::result<http_answer> put_document(const std::string& name, const http_headers& headers, std::string_view body);
    http_answer write(const std::string& name, std::int64_t expected, std::string_view body);

    std::int64_t m_revision = 100;
};

} // namespace mulberry
