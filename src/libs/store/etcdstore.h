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
    /// Time limit of one call, over all endpoints that it tries. Watches have no time limit.
    duration timeout{std::chrono::seconds(2)};
};

/// Client of an etcd cluster through its v3 HTTP/JSON gateway.
///
/// After an error, a read is sent to the next endpoint; a write only if it certainly had no effect. New calls start at
/// the endpoint that responded last. Errors of writes: unavailable only if the request was not sent or the store
/// reported a rejection without effect, bad_answer for a response that violates the protocol, and unknown_outcome for
/// everything else except too_large and no_such_lease. Destroying the object cancels open calls; their callbacks do not
/// run.
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
    /// The time is rounded up to whole seconds, the unit of the gateway.
    void grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done) override;
    void keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done) override;
    watch_id watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change) override;
    void cancel_watch(watch_id id) override;

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
