#include "libs/store/etcdstore.h"

#include "libs/base/asyncerror.h"
#include "libs/store/etcderrors.h"
#include "libs/store/etcdwatch.h"
#include "libs/store/gatewaycodec.h"

#include <algorithm>
#include <map>
#include <set>

namespace mulberry {

using detail::call_kind;
using detail::etcd_watch;

namespace {

constexpr int status_ok = 200;
const http_headers json_headers{{"Content-Type", "application/json"}};

template <typename Result>
using callback = std::function<void(leaf::result<Result>)>;

/// A call that has not completed, with the endpoints that it may still try.
template <typename Result>
struct pending_call {
    std::string_view path;
    std::string body;
    call_kind kind = call_kind::write;
    /// Decodes the body of a response with status 200. Empty if the response violates the protocol; an error if the
    /// store reports one in a response with this status.
    std::function<std::optional<leaf::result<Result>>(const std::string&)> decode;
    callback<Result> done;
    time_point deadline{};
    std::size_t endpoint_index = 0;
    std::size_t endpoints_left = 0;
    http_call_id id = 0;
};

/// Converts a decoder that returns an optional value to the kind that pending_call uses.
template <typename Result, typename Decoder>
auto make_decoder(Decoder decoder)
{
    return [decoder = std::move(decoder)](const std::string& body) -> std::optional<leaf::result<Result>> {
        auto value = decoder(body);
        if (!value)
            return std::nullopt;
        return leaf::result<Result>(std::move(*value));
    };
}

} // namespace

class etcd_store::implementation final : public std::enable_shared_from_this<implementation> {
public:
    implementation(streaming_http_client& http, timer_service& timers, etcd_store_settings settings)
        : m_http(http), m_timers(timers), m_settings(std::move(settings))
    {
    }

    template <typename Result>
    void start_call(pending_call<Result> call)
    {
        auto shared = std::make_shared<pending_call<Result>>(std::move(call));
        shared->deadline = m_timers.now() + m_settings.timeout;
        shared->endpoint_index = m_preferred_endpoint;
        shared->endpoints_left = m_settings.endpoints.size();
        send_to_endpoint(std::move(shared));
    }

    /// Completes a call with an error without sending a request.
    template <typename Result>
    void complete_with_error(callback<Result> done, store_error error)
    {
        m_timers.schedule(duration{0}, [weak = weak_from_this(), done = std::move(done), error] {
            if (const auto self = weak.lock())
                done(captured_error<Result>(error));
        });
    }

    watch_id watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change);
    void cancel_watch(watch_id id);
    void stop();

private:
    template <typename Result>
    void send_to_endpoint(std::shared_ptr<pending_call<Result>> call)
    {
        http_request request{"POST", m_settings.endpoints[call->endpoint_index] + std::string(call->path), json_headers,
                             call->body, call->deadline - m_timers.now()};
        // A read divides its time among the remaining endpoints. A write gets all of it, because it is not sent again
        // after a timeout.
        if (call->kind == call_kind::read)
            request.timeout /= static_cast<duration::rep>(call->endpoints_left);
        call->id =
            m_http.send(std::move(request), [weak = weak_from_this(), call](leaf::result<http_response> response) {
                if (const auto self = weak.lock())
                    self->on_response(call, std::move(response));
            });
        m_call_ids.insert(call->id);
    }

    template <typename Result>
    void on_response(const std::shared_ptr<pending_call<Result>>& call, leaf::result<http_response> response)
    {
        m_call_ids.erase(call->id);
        if (!response)
            return fail(call, store_error_of(call->kind, error_of(std::move(response), http_error::connection_lost)));
        auto result = response->status == status_ok ? call->decode(std::string(response->body)) : std::nullopt;
        if (!result)
            return fail(call, store_error_of(call->kind, *response));
        m_preferred_endpoint = call->endpoint_index;
        call->done(std::move(*result));
    }

    template <typename Result>
    void fail(const std::shared_ptr<pending_call<Result>>& call, store_error error)
    {
        --call->endpoints_left;
        call->endpoint_index = select_next_endpoint(call->endpoint_index);
        const bool try_next_endpoint =
            detail::may_fail_over(call->kind, error) && call->endpoints_left > 0 && call->deadline > m_timers.now();
        if (try_next_endpoint)
            return send_to_endpoint(call);
        call->done(captured_error<Result>(error));
    }

    /// Returns the endpoint to try after a failure; if the failed one was preferred, new calls start there as well.
    std::size_t select_next_endpoint(std::size_t endpoint_index)
    {
        const std::size_t next = (endpoint_index + 1) % m_settings.endpoints.size();
        if (m_preferred_endpoint == endpoint_index)
            m_preferred_endpoint = next;
        return next;
    }

    void open_stream(watch_id id, const std::shared_ptr<etcd_watch>& watch);
    void on_piece(watch_id id, const std::shared_ptr<etcd_watch>& watch, std::string_view piece);
    void on_stream_end(watch_id id, const std::shared_ptr<etcd_watch>& watch, leaf::result<http_response> response);
    void end_watch(watch_id id, const std::shared_ptr<etcd_watch>& watch, store_error error);

    streaming_http_client& m_http;
    timer_service& m_timers;
    etcd_store_settings m_settings;
    std::size_t m_preferred_endpoint = 0;
    std::set<http_call_id> m_call_ids;
    std::map<watch_id, std::shared_ptr<etcd_watch>> m_watches;
    watch_id m_last_watch_id = 0;
};

watch_id etcd_store::implementation::watch(std::string_view prefix, std::int64_t from_revision,
                                           watch_callback on_change)
{
    const watch_id id = ++m_last_watch_id;
    auto new_watch = std::make_shared<etcd_watch>(std::string(prefix), from_revision, std::move(on_change));
    new_watch->endpoint_index = m_preferred_endpoint;
    new_watch->endpoints_left = m_settings.endpoints.size();
    m_watches[id] = new_watch;
    open_stream(id, new_watch);
    return id;
}

void etcd_store::implementation::open_stream(watch_id id, const std::shared_ptr<etcd_watch>& watch)
{
    http_request request{"POST", m_settings.endpoints[watch->endpoint_index] + std::string(gateway::watch_path),
                         json_headers,
                         gateway::watch_request(gateway::prefix_begin(watch->prefix()),
                                                gateway::prefix_end(watch->prefix()), watch->next_revision()),
                         duration{0}};
    watch->call_id = m_http.stream(
        std::move(request),
        [weak = weak_from_this(), id, watch](std::string_view piece) {
            if (const auto self = weak.lock())
                self->on_piece(id, watch, piece);
        },
        [weak = weak_from_this(), id, watch](leaf::result<http_response> response) {
            if (const auto self = weak.lock())
                self->on_stream_end(id, watch, std::move(response));
        });
}

void etcd_store::implementation::on_piece(watch_id id, const std::shared_ptr<etcd_watch>& watch, std::string_view piece)
{
    if (watch->has_ended())
        return;
    const auto error = watch->process_piece(piece);
    if (!error || watch->has_ended())
        return;
    m_http.cancel(watch->call_id);
    select_next_endpoint(watch->endpoint_index);
    end_watch(id, watch, *error);
}

void etcd_store::implementation::on_stream_end(watch_id id, const std::shared_ptr<etcd_watch>& watch,
                                               leaf::result<http_response> response)
{
    if (watch->has_ended())
        return;
    store_error error = store_error::unavailable;
    if (response && response->status != status_ok)
        error = store_error_of(call_kind::read, *response);
    watch->endpoint_index = select_next_endpoint(watch->endpoint_index);
    --watch->endpoints_left;
    if (!response && !watch->has_started() && watch->endpoints_left > 0)
        return open_stream(id, watch);
    end_watch(id, watch, error);
}

void etcd_store::implementation::end_watch(watch_id id, const std::shared_ptr<etcd_watch>& watch, store_error error)
{
    m_watches.erase(id);
    watch->end(error);
}

void etcd_store::implementation::cancel_watch(watch_id id)
{
    const auto it = m_watches.find(id);
    if (it == m_watches.end())
        return;
    it->second->cancel();
    m_http.cancel(it->second->call_id);
    m_watches.erase(it);
}

void etcd_store::implementation::stop()
{
    for (const http_call_id id : std::exchange(m_call_ids, {}))
        m_http.cancel(id);
    for (const auto& [id, watch] : std::exchange(m_watches, {})) {
        watch->cancel();
        m_http.cancel(watch->call_id);
    }
}

etcd_store::etcd_store(streaming_http_client& http, timer_service& timers, etcd_store_settings settings)
    : m_implementation(std::make_shared<implementation>(http, timers, std::move(settings)))
{
}

etcd_store::~etcd_store()
{
    m_implementation->stop();
}

void etcd_store::get(std::string_view key, std::function<void(leaf::result<range_result>)> done)
{
    const auto decode = [key = std::string(key)](const std::string& body) {
        auto result = gateway::decode_range_response(body);
        const bool is_expected =
            result && result->entries.size() <= 1 && (result->entries.empty() || result->entries.front().key == key);
        return is_expected ? std::move(result) : std::nullopt;
    };
    m_implementation->start_call<range_result>({.path = gateway::range_path,
                                                .body = gateway::range_request(key, {}),
                                                .kind = call_kind::read,
                                                .decode = make_decoder<range_result>(decode),
                                                .done = std::move(done)});
}

void etcd_store::range(std::string_view prefix, std::function<void(leaf::result<range_result>)> done)
{
    const auto decode = [prefix = std::string(prefix)](const std::string& body) {
        auto result = gateway::decode_range_response(body);
        const auto has_prefix = [&](const store_entry& entry) { return entry.key.starts_with(prefix); };
        const bool is_expected = result && std::ranges::all_of(result->entries, has_prefix);
        return is_expected ? std::move(result) : std::nullopt;
    };
    m_implementation->start_call<range_result>(
        {.path = gateway::range_path,
         .body = gateway::range_request(gateway::prefix_begin(prefix), gateway::prefix_end(prefix)),
         .kind = call_kind::read,
         .decode = make_decoder<range_result>(decode),
         .done = std::move(done)});
}

void etcd_store::put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                        std::function<void(leaf::result<put_result>)> done)
{
    if (value.size() > max_value_bytes)
        return m_implementation->complete_with_error<put_result>(std::move(done), store_error::too_large);
    const auto decode = [key = std::string(key), expected_mod_revision](const std::string& body) {
        return gateway::decode_txn_response(body, key, expected_mod_revision);
    };
    m_implementation->start_call<put_result>({.path = gateway::txn_path,
                                              .body = gateway::put_request(key, expected_mod_revision, value, lease),
                                              .decode = make_decoder<put_result>(decode),
                                              .done = std::move(done)});
}

void etcd_store::remove_if(std::string_view key, std::int64_t expected_mod_revision,
                           std::function<void(leaf::result<put_result>)> done)
{
    const auto decode = [key = std::string(key), expected_mod_revision](const std::string& body) {
        return gateway::decode_txn_response(body, key, expected_mod_revision);
    };
    m_implementation->start_call<put_result>({.path = gateway::txn_path,
                                              .body = gateway::delete_request(key, expected_mod_revision),
                                              .decode = make_decoder<put_result>(decode),
                                              .done = std::move(done)});
}

void etcd_store::grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done)
{
    const std::int64_t seconds = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(ttl).count());
    const auto decode = [seconds](const std::string& body) -> std::optional<lease_id> {
        const auto granted = gateway::decode_grant_response(body);
        if (!granted || granted->ttl_seconds < seconds)
            return std::nullopt;
        return granted->id;
    };
    m_implementation->start_call<lease_id>({.path = gateway::grant_path,
                                            .body = gateway::grant_request(seconds),
                                            .decode = make_decoder<lease_id>(decode),
                                            .done = std::move(done)});
}

void etcd_store::keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done)
{
    const auto decode = [](const std::string& body) -> std::optional<leaf::result<void>> {
        const auto ttl = gateway::decode_keep_alive_response(body);
        if (!ttl)
            return std::nullopt;
        if (*ttl == 0)
            return captured_error<void>(store_error::no_such_lease);
        return leaf::result<void>();
    };
    m_implementation->start_call<void>({.path = gateway::keep_alive_path,
                                        .body = gateway::keep_alive_request(lease),
                                        .decode = decode,
                                        .done = std::move(done)});
}

watch_id etcd_store::watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change)
{
    return m_implementation->watch(prefix, from_revision, std::move(on_change));
}

void etcd_store::cancel_watch(watch_id id)
{
    m_implementation->cancel_watch(id);
}

} // namespace mulberry
