#pragma once

#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "plugins/idempotency/idempotencykey.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace mulberry {

struct idempotency_settings {
    duration epoch_length{std::chrono::minutes(1)};
    /// Number of epochs after its own for which a key stays valid.
    std::uint64_t retained_epochs = 60;
    /// Memory limit in bytes for all records together, including stored responses.
    std::size_t max_bytes = 8U << 20U;
    /// Size limit in bytes of a stored response. A larger one is dropped, and a retry is then refused with reason
    /// `idempotency_answer_dropped`.
    std::size_t max_stored_response_bytes = 16U << 10U;
};

/// The response of a request that ran, stored for retries of the request.
struct stored_response {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// What identifies a request besides its key. A key that is reused with a different request is refused.
struct request_identity {
    std::string_view organisation;
    std::string_view method;
    std::string_view path;
    std::string_view body;
};

using idempotency_record_id = std::uint64_t;

/// The request has not run under this key. The caller of begin runs it and reports how it ended.
struct run_permission {
    idempotency_record_id record = 0;
};

/// The request has already run; contains its stored response.
struct response_replay {
    stored_response response;
};

using idempotency_decision = std::variant<run_permission, response_replay, refusal>;

/// In-memory records of non-idempotent requests at the node that owns their keys. A record is retained at least as long
/// as its key is valid, so a valid key without a record has certainly not run here.
class idempotency_table {
public:
    idempotency_table(const idempotency_settings& settings, node_id self, timer_service& timers);

    /// The current epoch of this node, used for new keys. It starts at 1 with every incarnation.
    std::uint64_t epoch() const;

    /// Decides whether a request with this key may run. A refusal has the outcome "unknown" if the request may have
    /// run.
    idempotency_decision begin(const idempotency_key& key, const request_identity& request);

    /// Records that the request ran, and stores its response.
    void complete(idempotency_record_id record, stored_response response);

    /// Records that the request may have run, but its response was lost.
    void complete_without_response(idempotency_record_id record);

    /// Removes the record of a request that certainly was not forwarded to the upstream; the key may be used again.
    void abandon(idempotency_record_id record);

    std::size_t size() const { return m_records.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    enum class state : std::uint8_t { running, completed, completed_without_response };

    struct record {
        idempotency_record_id id = 0;
        std::string organisation;
        std::uint64_t epoch = 0;
        std::uint64_t fingerprint = 0;
        state run_state = state::running;
        stored_response response;
        std::size_t bytes = 0;
    };

    using record_map = std::unordered_map<std::string, record>;

    std::optional<refusal> check_key(const idempotency_key& key) const;
    idempotency_decision decide_retry(const record& existing, const request_identity& request) const;
    record* find(idempotency_record_id id);
    void finish(record& entry, state run_state, stored_response response);
    void remove_expired();

    idempotency_settings m_settings;
    node_id m_self;
    timer_service& m_timers;
    time_point m_start;
    record_map m_records;
    std::unordered_map<idempotency_record_id, std::string> m_nonces;
    std::multimap<std::uint64_t, idempotency_record_id> m_by_epoch;
    idempotency_record_id m_last_id = 0;
    std::size_t m_bytes = 0;
};

} // namespace mulberry
