#pragma once

#include "libs/base/asyncerror.h"
#include "libs/base/timerservice.h"
#include "libs/peer/peercaller.h"

#include <utility>

namespace mulberry {

/// Peer caller of a daemon without a peer port: every call fails with not_sent.
class null_peer_caller final : public peer_caller {
public:
    explicit null_peer_caller(timer_service& timers) : m_timers(timers) {}

    peer_call_id call(std::string_view, std::string_view, std::string_view, message_parts, peer_callback done) override
    {
        return m_timers.schedule(
            duration{0}, [done = std::move(done)] { done(captured_error<message_body>(peer_error::not_sent)); });
    }

    void cancel(peer_call_id id) override { m_timers.cancel(id); }

private:
    timer_service& m_timers;
};

} // namespace mulberry
