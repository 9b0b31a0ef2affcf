#include "plugins/once/onceledger.h"

#include "libs/base/invariant.h"

#include <utility>

#include <xxhash.h>

namespace mulberry {

namespace {

// Map nodes, index entries and the nonce of a record, without its answer.
constexpr std::size_t record_overhead_bytes = 320;

// The running request is usually done by then.
constexpr duration running_retry_after = std::chrono::seconds(1);

std::uint64_t fingerprint_of(const once_request& request)
{
    std::uint64_t hash = XXH3_64bits(request.method.data(), request.method.size());
    hash = XXH3_64bits_withSeed(request.path.data(), request.path.size(), hash);
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), hash);
}

std::size_t size_of(const kept_answer& answer)
{
    std::size_t bytes = answer.body.size();
    for (const auto& [name, value] : answer.headers)
        bytes += name.size() + value.size();
    return bytes;
}

refusal unknown(refusal_reason reason)
{
    return {reason, outcome::unknown, duration{0}};
}

} // namespace

once_ledger::once_ledger(const once_settings& settings, node_id home, timer_service& timers)
    : m_settings(settings), m_home(std::move(home)), m_timers(timers), m_start(timers.now())
{
}

std::uint64_t once_ledger::epoch() const
{
    return 1 + static_cast<std::uint64_t>((m_timers.now() - m_start) / m_settings.epoch_length);
}

std::optional<refusal> once_ledger::check_key(const idempotency_key& key) const
{
    if (key.home != m_home)
        return unknown(refusal_reason::idempotency_home_lost);
    if (key.epoch == 0 || key.epoch > epoch())
        return not_run(refusal_reason::idempotency_key_invalid);
    if (epoch() - key.epoch > m_settings.retained_epochs)
        return unknown(refusal_reason::idempotency_key_expired);
    return std::nullopt;
}

once_decision once_ledger::begin(const idempotency_key& key, const once_request& request)
{
    if (const auto refused = check_key(key))
        return *refused;
    remove_expired();
    const auto known = m_records.find(key.nonce);
    if (known != m_records.end())
        return repeat(known->second, request);
    const std::size_t bytes = record_overhead_bytes + request.organisation.size();
    if (m_bytes + bytes > m_settings.max_bytes)
        return not_run(refusal_reason::idempotency_table_full, m_settings.epoch_length);
    const once_record_id id = ++m_last_id;
    m_records.emplace(
        key.nonce,
        record{id, std::string(request.organisation), key.epoch, fingerprint_of(request), state::running, {}, bytes});
    m_nonces.emplace(id, key.nonce);
    m_by_epoch.emplace(key.epoch, id);
    m_bytes += bytes;
    return once_started{id};
}

once_decision once_ledger::repeat(const record& known, const once_request& request) const
{
    // Another organisation learns nothing about the record, not even that it exists.
    if (known.organisation != request.organisation || known.fingerprint != fingerprint_of(request))
        return not_run(refusal_reason::idempotency_key_invalid);
    switch (known.progress) {
    case state::running:
        return refusal{refusal_reason::idempotency_running, outcome::unknown, running_retry_after};
    case state::done:
        return once_replayed{known.answer};
    case state::done_without_answer:
        return unknown(refusal_reason::idempotency_answer_dropped);
    }
    return unknown(refusal_reason::invariant_violated);
}

once_ledger::record* once_ledger::find(once_record_id id)
{
    const auto nonce = m_nonces.find(id);
    if (nonce == m_nonces.end())
        return nullptr;
    const auto entry = m_records.find(nonce->second);
    return entry == m_records.end() ? nullptr : &entry->second;
}

void once_ledger::finish(record& entry, state progress, kept_answer answer)
{
    if (!invariant_monitor::instance().check(entry.progress == state::running, invariant::non_idempotent_once,
                                             "a request under one idempotency key ended twice"))
        return;
    const std::size_t answer_bytes = size_of(answer);
    entry.progress = progress;
    entry.answer = std::move(answer);
    entry.bytes += answer_bytes;
    m_bytes += answer_bytes;
}

void once_ledger::complete(once_record_id id, kept_answer answer)
{
    record* entry = find(id);
    if (entry == nullptr)
        return;
    const std::size_t bytes = size_of(answer);
    if (bytes > m_settings.max_kept_answer_bytes || m_bytes + bytes > m_settings.max_bytes)
        return finish(*entry, state::done_without_answer, {});
    finish(*entry, state::done, std::move(answer));
}

void once_ledger::complete_without_answer(once_record_id id)
{
    if (record* entry = find(id))
        finish(*entry, state::done_without_answer, {});
}

void once_ledger::abandon(once_record_id id)
{
    record* entry = find(id);
    if (entry == nullptr)
        return;
    if (!invariant_monitor::instance().check(entry->progress == state::running, invariant::non_idempotent_once,
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

void once_ledger::remove_expired()
{
    const std::uint64_t now = epoch();
    auto it = m_by_epoch.begin();
    while (it != m_by_epoch.end() && now - it->first > m_settings.retained_epochs) {
        const record* entry = find(it->second);
        if (entry != nullptr && entry->progress == state::running) {
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
