#pragma once

#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "plugins/once/idempotencykey.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace mulberry {

struct once_settings {
    duration epoch_length{std::chrono::minutes(1)};
    /// A key is honoured while its epoch is at most this many steps old.
    std::uint64_t retained_epochs = 60;
    /// Limit on all records together, kept answers included.
    std::size_t max_bytes = 8U << 20U;
    /// A larger answer is not kept; a repeated request then learns only that it ran.
    std::size_t max_kept_answer_bytes = 16U << 10U;
};

/// The answer of a request that ran, for callers that repeat the request.
struct kept_answer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Identity of a request besides its key. A key that comes with another request is refused.
struct once_request {
    std::string_view organisation;
    std::string_view method;
    std::string_view path;
    std::string_view body;
};

using once_record_id = std::uint64_t;

/// The request has not run under this key; the caller of begin runs it and reports how it ended.
struct once_started {
    once_record_id record = 0;
};

/// The request ran before and this was its answer.
struct once_replayed {
    kept_answer answer;
};

using once_decision = std::variant<once_started, once_replayed, refusal>;

/// Records of non-idempotent requests at their home node, in memory. A record lives as long as its key is honoured, so
/// that a key without a record has certainly not run here.
class once_ledger {
public:
    once_ledger(const once_settings& settings, node_id home, timer_service& timers);

    /// The home's counter of epochs, for new keys. It starts at 1 with every incarnation.
    std::uint64_t epoch() const;

    /// Decides whether a request with this key may run. Refusals say "unknown" when the request may have run.
    once_decision begin(const idempotency_key& key, const once_request& request);

    /// The request ran and was answered.
    void complete(once_record_id record, kept_answer answer);

    /// The request may have run, and its answer is lost.
    void complete_without_answer(once_record_id record);

    /// The request was certainly not handed to the upstream; the key may be used again.
    void abandon(once_record_id record);

    std::size_t size() const { return m_records.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    enum class state : std::uint8_t { running, done, done_without_answer };

    struct record {
        once_record_id id = 0;
        std::string organisation;
        std::uint64_t epoch = 0;
        std::uint64_t fingerprint = 0;
        state progress = state::running;
        kept_answer answer;
        std::size_t bytes = 0;
    };

    using record_map = std::unordered_map<std::string, record>;

    std::optional<refusal> check_key(const idempotency_key& key) const;
    once_decision repeat(const record& known, const once_request& request) const;
    record* find(once_record_id id);
    void finish(record& entry, state progress, kept_answer answer);
    void remove_expired();

    once_settings m_settings;
    node_id m_home;
    timer_service& m_timers;
    time_point m_start;
    record_map m_records;
    std::unordered_map<once_record_id, std::string> m_nonces;
    std::multimap<std::uint64_t, once_record_id> m_by_epoch;
    once_record_id m_last_id = 0;
    std::size_t m_bytes = 0;
};

} // namespace mulberry
