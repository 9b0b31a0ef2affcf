#pragma once

#include "libs/base/timerservice.h"
#include "libs/peer/peerhandler.h"
#include "plugins/storerelay/relayedstore.h"

#include <cstdint>
#include <map>
#include <memory>

namespace mulberry {

/// Responds to the polls of other nodes from the own copies. A poll without changes is held back until there is one or
/// its wait has passed.
class relay_port final : public peer_handler {
public:
    relay_port(relayed_store& store, timer_service& timers);
    ~relay_port() override;

    void on_call(peer_request request, std::shared_ptr<peer_responder> responder) override;

    std::size_t held_polls() const { return m_held.size(); }

private:
    struct held_poll {
        relay_poll poll;
        time_point received_at;
        std::shared_ptr<peer_responder> responder;
        timer_id timer = 0;
    };
    using held_map = std::map<std::uint64_t, held_poll>;

    relay_page make_page(const relay_poll& poll, time_point received_at) const;
    void hold(relay_poll poll, std::shared_ptr<peer_responder> responder);
    void respond(std::uint64_t id);
    void release(std::uint64_t id);
    void on_copy_changed(std::string_view prefix);

    relayed_store& m_store;
    timer_service& m_timers;
    held_map m_held;
    std::uint64_t m_last_id = 0;
    // Responders that outlive this object hold weak references to it.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
