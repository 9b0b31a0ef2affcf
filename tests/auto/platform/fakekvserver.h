#pragma once

#include "fakes/virtualtimerservice.h"
#include "libs/http/httpclient.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace mulberry::platform {

/// The platform's key-value service behind the interface of the HTTP client: reads, watches, transactions and leases.
/// It can go back to an earlier copy of its data, as after a loss of data.
class fake_kv_server final : public http_client {
public:
    explicit fake_kv_server(virtual_timer_service& timers) : m_timers(timers) {}

    http_call_id send(http_request request, http_callback done) override;
    void cancel(http_call_id id) override;

    /// Writes a key as the operator does.
    void write(const std::string& key, const std::string& value);
    /// Value of a key; empty if there is none.
    std::string value_of(const std::string& key) const;
    void take_copy() { m_copy = m_state; }
    /// Is away for a time and then continues from the last copy, with the next generation number. Revisions and leases
    /// since the copy are given out again.
    void restore_copy(duration away);

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct change {
        std::string key;
        std::int64_t revision = 0;
        bool removed = false;
    };
    struct state {
        std::map<std::string, item, std::less<>> items;
        std::vector<change> history;
        std::map<std::int64_t, time_point> lease_ends;
        std::int64_t revision = 10;
        std::int64_t last_lease = 0;
    };
    struct waiting_poll {
        http_request request;
        http_callback done;
        time_point end;
    };
    struct query {
        std::string path;
        std::map<std::string, std::string, std::less<>> fields;
    };

    static query parse(const std::string& url);
    void respond(http_call_id id, int status, const nlohmann::json& body);
    void handle(http_call_id id);
    void handle_watch(http_call_id id, const query& target);
    void handle_transaction(http_call_id id);
    void answer_polls();
    void end_leases();
    void change_item(const std::string& key, const item* written);
    nlohmann::json item_json(const std::string& key) const;

    virtual_timer_service& m_timers;
    state m_state;
    state m_copy;
    std::map<http_call_id, waiting_poll> m_calls;
    std::int64_t m_generation = 1;
    time_point m_away_until;
    http_call_id m_last_id = 0;
};

} // namespace mulberry::platform
