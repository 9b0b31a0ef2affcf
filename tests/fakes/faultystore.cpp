#include "fakes/faultystore.h"

#include "libs/base/asyncerror.h"

#include <utility>

namespace mulberry {

template <typename Result>
void faulty_store::fail(callback<Result> done, store_error error)
{
    m_timers.schedule(m_faults.latency, [done = std::move(done), error] { done(captured_error<Result>(error)); });
}

template <typename Result>
faulty_store::callback<Result> faulty_store::wrap_callback(callback<Result> done)
{
    // The response is delivered by the timers of the node, so that it is deferred while the node is paused.
    return [this, alive = std::weak_ptr<bool>(m_alive), done = std::move(done)](leaf::result<Result> result) {
        if (alive.expired())
            return;
        auto stored_result = std::make_shared<leaf::result<Result>>(std::move(result));
        m_timers.schedule(duration{0}, [done, stored_result] { done(std::move(*stored_result)); });
    };
}

template <typename Result>
void faulty_store::run(callback<Result> done, bool is_write, std::function<void(callback<Result>)> operation)
{
    ++m_calls;
    if (m_faults.down)
        return fail<Result>(std::move(done), store_error::unavailable);
    const bool lose_response = is_write && m_random.uniform_real() < m_faults.lost_response;
    m_timers.schedule(m_faults.latency,
                      [this, lose_response, done = std::move(done), operation = std::move(operation)] {
                          if (!lose_response)
                              return operation(wrap_callback<Result>(done));
                          operation([](const leaf::result<Result>&) {});
                          fail<Result>(done, store_error::unknown_outcome);
                      });
}

void faulty_store::get(std::string_view key, std::function<void(leaf::result<range_result>)> done)
{
    run<range_result>(std::move(done), false, [this, name = std::string(key)](callback<range_result> on_result) {
        m_backing.get(name, on_result);
    });
}

void faulty_store::range(std::string_view prefix, std::function<void(leaf::result<range_result>)> done)
{
    run<range_result>(std::move(done), false, [this, name = std::string(prefix)](callback<range_result> on_result) {
        m_backing.range(name, on_result);
    });
}

void faulty_store::put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                          std::function<void(leaf::result<put_result>)> done)
{
    run<put_result>(std::move(done), true,
                    [this, name = std::string(key), expected_mod_revision, value = std::move(value),
                     lease](callback<put_result> on_result) {
                        m_backing.put_if(name, expected_mod_revision, value, lease, on_result);
                    });
}

void faulty_store::remove_if(std::string_view key, std::int64_t expected_mod_revision,
                             std::function<void(leaf::result<put_result>)> done)
{
    run<put_result>(std::move(done), true,
                    [this, name = std::string(key), expected_mod_revision](callback<put_result> on_result) {
                        m_backing.remove_if(name, expected_mod_revision, on_result);
                    });
}

void faulty_store::grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done)
{
    run<lease_id>(std::move(done), true,
                  [this, ttl](callback<lease_id> on_result) { m_backing.grant_lease(ttl, on_result); });
}

void faulty_store::keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done)
{
    run<void>(std::move(done), false,
              [this, lease](callback<void> on_result) { m_backing.keep_alive(lease, on_result); });
}

void faulty_store::set_faults(const store_faults& faults)
{
    const bool was_confirmed = !m_faults.down && !m_faults.receiving;
    if (was_confirmed && (faults.down || faults.receiving))
        m_unconfirmed_since = m_timers.now();
    m_faults = faults;
    if (m_faults.receiving)
        return;
    for (const auto& report : std::exchange(m_held_events, {}))
        report();
}

watch_id faulty_store::watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change)
{
    ++m_calls;
    const watch_id id =
        m_backing.watch(prefix, from_revision,
                        [this, alive = std::weak_ptr<bool>(m_alive), on_change = std::move(on_change)](auto events) {
                            if (alive.expired())
                                return;
                            if (m_faults.down)
                                return on_change(captured_error<std::vector<watch_event>>(store_error::unavailable));
                            if (m_faults.receiving && events) {
                                m_held_events.push_back([on_change, received = *events] { on_change(received); });
                                return;
                            }
                            on_change(std::move(events));
                        });
    m_watches.emplace(id, m_timers.now());
    return id;
}

void faulty_store::cancel_watch(watch_id id)
{
    m_watches.erase(id);
    m_backing.cancel_watch(id);
}

std::optional<time_point> faulty_store::watch_confirmed_until(watch_id id) const
{
    if (!m_faults.down && !m_faults.receiving)
        return m_timers.now();
    const auto watch = m_watches.find(id);
    if (watch == m_watches.end() || watch->second >= m_unconfirmed_since)
        return std::nullopt;
    return m_unconfirmed_since;
}

} // namespace mulberry
