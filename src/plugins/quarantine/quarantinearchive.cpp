#include "plugins/quarantine/quarantinearchive.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "quarantine";
constexpr std::string_view key_prefix = "mulberry/quarantine/";
/// Lease of a key. Nodes that run keep the request in quarantine for longer.
constexpr duration key_lease = std::chrono::minutes(10);
/// Upper bound of the random delay of the first read, so that not all nodes read at once after a restart of all.
constexpr duration max_first_read_delay = std::chrono::milliseconds(1500);
constexpr duration retry_delay = std::chrono::seconds(1);
/// Requests that wait for the store. Further ones are known to the nodes only.
constexpr std::size_t max_pending = 64;

} // namespace

quarantine_archive::quarantine_archive(timer_service& timers, random_source& random, key_value_store& store,
                                       reports_callback on_read)
    : m_timers(timers), m_random(random), m_store(store), m_on_read(std::move(on_read)),
      m_read_retry(timers, retry_delay, retry_delay, [this] { read(); }),
      m_write_retry(timers, retry_delay, retry_delay, [this] { write_pending(); })
{
}

quarantine_archive::~quarantine_archive()
{
    m_timers.cancel(m_first_read_timer);
}

void quarantine_archive::start()
{
    const auto delay = m_random.uniform(static_cast<std::uint64_t>(max_first_read_delay.count()));
    m_first_read_timer = m_timers.schedule(duration{static_cast<std::int64_t>(delay)}, [this] { read(); });
}

void quarantine_archive::read()
{
    m_store.range(key_prefix, [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<range_result> result) {
        if (!alive.expired())
            on_read(std::move(result));
    });
}

void quarantine_archive::on_read(leaf::result<range_result> result)
{
    if (!result)
        return m_read_retry.schedule();
    std::vector<crash_report> reports;
    for (const store_entry& entry : result->entries) {
        auto message = decode_quarantine_message(entry.value);
        if (!message) {
            log_warning(log_part, "The entry {} is invalid and is ignored.", entry.key);
            continue;
        }
        std::ranges::move(message->reports, std::back_inserter(reports));
    }
    if (!reports.empty())
        m_on_read(std::move(reports));
}

void quarantine_archive::save(request_fingerprint fingerprint, std::vector<crash_report> reports)
{
    if (m_pending.size() >= max_pending)
        return log_warning(log_part, "Request {:016x} is not written to the store: too many wait.", fingerprint);
    quarantine_message message;
    message.reports = std::move(reports);
    m_pending[fingerprint] = encode(message);
    write_pending();
}

void quarantine_archive::write_pending()
{
    if (m_pending.empty() || std::exchange(m_is_writing, true))
        return;
    m_store.grant_lease(key_lease, [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<lease_id> lease) {
        if (alive.expired())
            return;
        if (lease)
            return write(m_pending.begin()->first, *lease);
        m_is_writing = false;
        m_write_retry.schedule();
    });
}

void quarantine_archive::write(request_fingerprint fingerprint, lease_id lease)
{
    m_store.put_if(fmt::format("{}{:016x}", key_prefix, fingerprint), 0, m_pending.at(fingerprint), lease,
                   [this, fingerprint, alive = std::weak_ptr<int>(m_alive)](leaf::result<put_result> result) {
                       if (alive.expired())
                           return;
                       m_is_writing = false;
                       if (!result)
                           return m_write_retry.schedule();
                       m_pending.erase(fingerprint);
                       write_pending();
                   });
}

} // namespace mulberry
