#include "plugins/idempotency/idempotencytable.h"

#include "libs/base/invariant.h"

#include <utility>

#include <xxhash.h>

namespace mulberry {

namespace {

// Memory for the map nodes, index entries and nonce of a record, without its response.
constexpr std::size_t record_overhead_bytes = 320;

// The running request has usually ended by then.
constexpr duration running_retry_after = std::chrono::seconds(1);

std::uint64_t fingerprint_of(const request_identity& request)
{
    std::uint64_t hash = XXH3_64bits(request.method.data(), request.method.size());
    hash = XXH3_64bits_withSeed(request.path.data(), request.path.size(), hash);
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), hash);
}

std::size_t size_of(const stored_response& response)
{
    std::size_t bytes = response.body.size();
    for (const auto& [name, value] : response.headers)
        bytes += name.size() + value.size();
    return bytes;
}

refusal unknown(refusal_reason reason)
{
    return {reason, outcome::unknown, duration{0}};
}

} // namespace

idempotency_table::idempotency_table(const idempotency_settings& settings, node_id self, timer_service& timers)
    : m_settings(settings), m_self(std::move(self)), m_timers(timers), m_start(timers.now())
{
}

std::uint64_t idempotency_table::epoch() const
{
    return 1 + static_cast<std::uint64_t>((m_timers.now() - m_start) / m_settings.epoch_length);
}

std::optional<refusal> idempotency_table::check_key(const idempotency_key& key) const
{
    if (key.owner_node != m_self)
        return unknown(refusal_reason::idempotency_home_lost);
    if (key.epoch == 0 || key.epoch > epoch())
        return not_run_refusal(refusal_reason::idempotency_key_invalid);
    if (epoch() - key.epoch > m_settings.retained_epochs)
        return unknown(refusal_reason::idempotency_key_expired);
    return std::nullopt;
}

idempotency_decision idempotency_table::begin(const idempotency_key& key, const request_identity& request)
{
    if (const auto refused = check_key(key))
        return *refused;
    remove_expired();
    const auto existing = m_records.find(key.nonce);
    if (existing != m_records.end())
        return decide_retry(existing->second, request);
    const std::size_t bytes = record_overhead_bytes + request.organisation.size();
    if (m_bytes + bytes > m_settings.max_bytes)
        return not_run_refusal(refusal_reason::idempotency_table_full, m_settings.epoch_length);
    const idempotency_record_id id = ++m_last_id;
    m_records.emplace(
        key.nonce,
        record{id, std::string(request.organisation), key.epoch, fingerprint_of(request), state::running, {}, bytes});
    m_nonces.emplace(id, key.nonce);
    m_by_epoch.emplace(key.epoch, id);
    m_bytes += bytes;
    return run_permission{id};
}

idempotency_decision idempotency_table::decide_retry(const record& existing, const request_identity& request) const
{
    // The refusal must not disclose to another organisation that the record exists.
    if (existing.organisation != request.organisation || existing.fingerprint != fingerprint_of(request))
        return not_run_refusal(refusal_reason::idempotency_key_invalid);
    switch (existing.run_state) {
    case state::running:
        return refusal{refusal_reason::idempotency_running, outcome::unknown, running_retry_after};
    case state::completed:
        return response_replay{existing.response};
    case state::completed_without_response:
        return unknown(refusal_reason::idempotency_answer_dropped);
    }
    return unknown(refusal_reason::invariant_violated);
}

idempotency_table::record* idempotency_table::find(idempotency_record_id id)
{
    const auto nonce = m_nonces.find(id);
    if (nonce == m_nonces.end())
        return nullptr;
    const auto entry = m_records.find(nonce->second);
    return entry == m_records.end() ? nullptr : &entry->second;
}

void idempotency_table::finish(record& entry, state run_state, stored_response response)
{
    if (!invariant_monitor::instance().check(entry.run_state == state::running, invariant::non_idempotent_once,
                                             "a request under one idempotency key ended twice"))
        return;
    const std::size_t response_bytes = size_of(response);
    entry.run_state = run_state;
    entry.response = std::move(response);
    entry.bytes += response_bytes;
    m_bytes += response_bytes;
}

void idempotency_table::complete(idempotency_record_id id, stored_response response)
{
    record* entry = find(id);
    if (entry == nullptr)
        return;
    const std::size_t bytes = size_of(response);
    if (bytes > m_settings.max_stored_response_bytes || m_bytes + bytes > m_settings.max_bytes)
        return finish(*entry, state::completed_without_response, {});
    finish(*entry, state::completed, std::move(response));
}

void idempotency_table::complete_without_response(idempotency_record_id id)
{
    if (record* entry = find(id))
        finish(*entry, state::completed_without_response, {});
}

void idempotency_table::abandon(idempotency_record_id id)
{
    record* entry = find(id);
    if (entry == nullptr)
        return;
    if (!invariant_monitor::instance().check(entry->run_state == state::running, invariant::non_idempotent_once,
                                             "a finished request was reported as not run"))
        return;
    const auto [begin, end] = m_by_epoch.equal_range(entry->epoch);
    for (auto it = begin; it != end; ++it) {
        if (it->second != id)
            continue;
        m_by_epoch.erase(it);
        break;
    }
    m_bytes -= entry->bytes;
    m_records.erase(m_nonces[id]);
    m_nonces.erase(id);
}

void idempotency_table::remove_expired()
{
    const std::uint64_t now = epoch();
    auto it = m_by_epoch.begin();
    while (it != m_by_epoch.end() && now - it->first > m_settings.retained_epochs) {
        const record* entry = find(it->second);
        if (entry != nullptr && entry->run_state == state::running) {
            ++it;
            continue;
        }
        if (entry != nullptr)
            m_bytes -= entry->bytes;
        m_records.erase(m_nonces[it->second]);
        m_nonces.erase(it->second);
        it = m_by_epoch.erase(it);
    }
}

} // namespace mulberry
