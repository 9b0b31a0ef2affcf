#include "tools/sharesexperiment/nodestore.h"

#include "libs/base/asyncerror.h"

#include <memory>
#include <utility>

namespace mulberry::shares {

template <typename Result>
std::function<void(leaf::result<Result>)> node_store::on_event_loop(std::function<void(leaf::result<Result>)> done)
{
    return [this, done = std::move(done)](leaf::result<Result> result) {
        auto shared = std::make_shared<leaf::result<Result>>(std::move(result));
        m_clock.schedule(duration{0}, [done, shared] { done(std::move(*shared)); });
    };
}

void node_store::get(std::string_view key, std::function<void(leaf::result<range_result>)> done)
{
    m_store.get(key, on_event_loop<range_result>(std::move(done)));
}

void node_store::range(std::string_view prefix, std::function<void(leaf::result<range_result>)> done)
{
    m_store.range(prefix, on_event_loop<range_result>(std::move(done)));
}

void node_store::put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                        std::function<void(leaf::result<put_result>)> done)
{
    if (m_random.uniform_real() >= m_late_chance) {
        return m_store.put_if(key, expected_mod_revision, std::move(value), lease,
                              on_event_loop<put_result>(std::move(done)));
    }
    m_simulation.schedule(
        m_late_delay, [this, name = std::string(key), expected_mod_revision, value = std::move(value), lease] {
            m_store.put_if(name, expected_mod_revision, value, lease, [](const leaf::result<put_result>&) {});
        });
    on_event_loop<put_result>(std::move(done))(captured_error<put_result>(store_error::unknown_outcome));
}

void node_store::remove_if(std::string_view key, std::int64_t expected_mod_revision,
                           std::function<void(leaf::result<put_result>)> done)
{
    m_store.remove_if(key, expected_mod_revision, on_event_loop<put_result>(std::move(done)));
}

void node_store::grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done)
{
    m_store.grant_lease(ttl, on_event_loop<lease_id>(std::move(done)));
}

void node_store::keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done)
{
    m_store.keep_alive(lease, on_event_loop<void>(std::move(done)));
}

watch_id node_store::watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change)
{
    return m_store.watch(prefix, from_revision, on_event_loop<std::vector<watch_event>>(std::move(on_change)));
}

void node_store::cancel_watch(watch_id id)
{
    m_store.cancel_watch(id);
}

} // namespace mulberry::shares
