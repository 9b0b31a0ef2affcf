#include "libs/http/curlhttpclient.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"
#include "libs/eventloop/eventloop.h"
#include "libs/http/curlsockets.h"
#include "libs/http/curltransfer.h"

#include <unordered_map>

#include <curl/curl.h>

namespace mulberry {

using detail::curl_transfer;

/// The transfers of one client. Shared, so that tasks queued in the event loop notice the end of the client.
class curl_http_client::worker : public std::enable_shared_from_this<worker> {
public:
    worker(event_loop& loop, const curl_client_settings& settings, std::shared_ptr<memory_budget> memory)
        : m_loop(loop), m_settings(settings), m_memory(std::move(memory)), m_multi(make_multi()),
          m_sockets(loop, m_multi.get(), [this] { process_finished_transfers(); })
    {
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAX_HOST_CONNECTIONS, m_settings.max_connections_per_host);
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, m_settings.max_idle_connections);
    }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    ~worker()
    {
        for (const auto& [id, transfer] : m_transfers)
            curl_multi_remove_handle(m_multi.get(), transfer->handle());
    }

    /// Forgets all calls, so that no callback is called afterwards.
    void shut_down() { m_calls.clear(); }

    void start(http_call_id id, http_request request, std::function<void(std::string_view)> on_piece,
               http_callback done)
    {
        const bool is_stream = on_piece != nullptr;
        const bool expired = !is_stream && request.timeout.count() <= 0;
        m_calls.emplace(id, call_record{std::move(done), std::move(on_piece)});
        if (expired) {
            post_result(id, captured_error<http_response>(http_error::not_sent));
            return;
        }
        curl_transfer::piece_handler piece_callback;
        if (is_stream)
            piece_callback = [this, id](std::string_view piece) { post_piece(id, std::string(piece)); };
        add_transfer(std::make_unique<curl_transfer>(id, std::move(request), m_settings, std::move(piece_callback),
                                                     memory_reservation(m_memory)));
    }

    void cancel(http_call_id id)
    {
        if (m_calls.erase(id) != 0)
            remove_transfer(id);
    }

private:
    struct call_record {
        http_callback done;
        std::function<void(std::string_view)> on_piece;
    };
    struct multi_deleter {
        void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
    };

    static CURLM* make_multi()
    {
        static const CURLcode global = curl_global_init(CURL_GLOBAL_DEFAULT);
        if (global != CURLE_OK)
            log_error("http", "libcurl could not be initialised: {}.", curl_easy_strerror(global));
        return curl_multi_init();
    }

    void add_transfer(std::unique_ptr<curl_transfer> transfer)
    {
        const http_call_id id = transfer->id();
        if (!transfer->prepare() || curl_multi_add_handle(m_multi.get(), transfer->handle()) != CURLM_OK) {
            post_result(id, captured_error<http_response>(http_error::not_sent));
            return;
        }
        m_transfers.emplace(id, std::move(transfer));
    }

    void remove_transfer(http_call_id id)
    {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
            return;
        curl_multi_remove_handle(m_multi.get(), found->second->handle());
        m_transfers.erase(found);
    }

    void process_finished_transfers()
    {
        int remaining_messages = 0;
        while (const CURLMsg* message = curl_multi_info_read(m_multi.get(), &remaining_messages)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const CURLcode code = message->data.result;
            curl_transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            const http_call_id id = transfer->id();
            post_result(id, transfer->result(code));
            remove_transfer(id);
        }
    }

    void post_result(http_call_id id, leaf::result<http_response> result)
    {
        m_loop.post([weak = weak_from_this(), id, result = std::move(result)]() mutable {
            const auto self = weak.lock();
            if (!self)
                return;
            auto record = self->m_calls.extract(id);
            if (!record.empty())
                record.mapped().done(std::move(result));
        });
    }

    void post_piece(http_call_id id, std::string piece)
    {
        m_loop.post([weak = weak_from_this(), id, piece = std::move(piece)] {
            const auto self = weak.lock();
            if (!self)
                return;
            const auto found = self->m_calls.find(id);
            if (found == self->m_calls.end())
                return;
            // The function is copied, because the callback may cancel its own call.
            const auto on_piece = found->second.on_piece;
            on_piece(piece);
        });
    }

    event_loop& m_loop;
    curl_client_settings m_settings;
    std::shared_ptr<memory_budget> m_memory;
    std::unordered_map<http_call_id, call_record> m_calls;
    std::unique_ptr<CURLM, multi_deleter> m_multi;
    detail::curl_sockets m_sockets;
    std::unordered_map<http_call_id, std::unique_ptr<curl_transfer>> m_transfers;
};

curl_http_client::curl_http_client(event_loop& loop, const curl_client_settings& settings,
                                   std::shared_ptr<memory_budget> memory)
    : m_worker(std::make_shared<worker>(loop, settings, std::move(memory)))
{
}

curl_http_client::~curl_http_client()
{
    m_worker->shut_down();
}

http_call_id curl_http_client::send(http_request request, http_callback done)
{
    const http_call_id id = ++m_last_id;
    m_worker->start(id, std::move(request), nullptr, std::move(done));
    return id;
}

void curl_http_client::cancel(http_call_id id)
{
    m_worker->cancel(id);
}

http_call_id curl_http_client::stream(http_request request, std::function<void(std::string_view)> on_piece,
                                      http_callback done)
{
    const http_call_id id = ++m_last_id;
    m_worker->start(id, std::move(request), std::move(on_piece), std::move(done));
    return id;
}

} // namespace mulberry
