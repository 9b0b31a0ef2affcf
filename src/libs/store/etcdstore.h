#pragma once

#include "libs/base/timerservice.h"
#include "libs/http/httpclient.h"
#include "libs/store/keyvaluestore.h"

#include <memory>
#include <string>
#include <vector>

namespace mulberry {

struct etcd_store_settings {
    /// Base URLs such as "http://10.0.0.9:2379"; at least one.
    std::vector<std::string> endpoints;
    /// Longest time of one call, over all endpoints. Watches have no limit.
    duration timeout{std::chrono::seconds(2)};
};

/// The store behind the etcd v3 HTTP/JSON gateway.
///
/// A call moves to the next endpoint if it is a read, or if the first endpoint certainly took no effect. The endpoint
/// that answered last is used first. Errors of writes: unavailable only if the request did not leave or the store
/// reported a refusal without effect; bad_answer for an answer that the protocol does not allow; unknown_outcome for
/// everything else. Callbacks that are open when the object ends are not called.
class etcd_store final : public key_value_store {
public:
    etcd_store(streaming_http_client& http, timer_service& timers, etcd_store_settings settings);
    ~etcd_store() override;

    void get(std::string_view key, std::function<void(leaf::result<range_result>)> done) override;
    void range(std::string_view prefix, std::function<void(leaf::result<range_result>)> done) override;
    void put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                std::function<void(leaf::result<put_result>)> done) override;
    void remove_if(std::string_view key, std::int64_t expected_mod_revision,
                   std::function<void(leaf::result<put_result>)> done) override;
    /// The time is rounded up to whole seconds.
    void grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done) override;
    void keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done) override;
    watch_id watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change) override;
    void cancel_watch(watch_id id) override;

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
