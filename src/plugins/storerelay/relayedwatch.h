#pragma once

#include "libs/base/timerservice.h"
#include "libs/peer/peercaller.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/storerelay/relaymessages.h"
#include "plugins/storerelay/relayselector.h"

#include <memory>
#include <optional>
#include <string>

namespace mulberry {

/// Services that a relayed watch requires from its store.
class relayed_watch_owner {
public:
    relayed_watch_owner() = default;
    relayed_watch_owner(const relayed_watch_owner&) = delete;
    relayed_watch_owner& operator=(const relayed_watch_owner&) = delete;
    virtual ~relayed_watch_owner() = default;

    /// Returns the relay to poll, or nothing to read the store itself.
    virtual std::optional<std::string> choose_relay() = 0;
    virtual void on_relay_failed(std::string_view relay, relay_failure failure) = 0;
    /// The own reads of the store do not keep the copy fresh; other nodes may have a path to the store.
    virtual void on_direct_read_failed() = 0;
    /// Sends a poll. Returns 0 if the relay has no known address; the callback is then never called.
    virtual peer_call_id poll_relay(const std::string& relay, const relay_poll& poll, peer_callback done) = 0;
    virtual void cancel_poll(peer_call_id id) = 0;
    virtual key_value_store& direct_store() = 0;
};

struct relayed_watch_settings {
    /// How long a relay may hold a poll back while there are no changes.
    duration poll_wait{std::chrono::seconds(4)};
    /// A relay whose copy is older than this counts as failed. Unlimited if nothing depends on the age of the copy.
    std::optional<duration> max_age{};
    /// Time for the transfer of a response, on top of the wait. A relay that is silent for longer counts as failed.
    duration response_margin{std::chrono::milliseconds(900)};
    /// How often a node that reads the store itself checks whether there is a relay now.
    duration direct_check_period{std::chrono::milliseconds(500)};
};

/// A watch that receives the changes from a relay, or from the store where there is no relay. A change of the source
/// loses no changes, because each poll names the revision up to which they are known.
class relayed_watch final : public std::enable_shared_from_this<relayed_watch> {
public:
    relayed_watch(const relayed_watch_settings& settings, timer_service& timers, relayed_watch_owner& owner,
                  std::string prefix, std::int64_t from_revision, watch_callback on_change);
    relayed_watch(const relayed_watch&) = delete;
    relayed_watch& operator=(const relayed_watch&) = delete;
    ~relayed_watch();

    /// Chooses the source and asks it for changes. Called once to start the watch.
    void step();
    /// The latest time up to which all changes are known to have been reported; empty before the first confirmation.
    std::optional<time_point> confirmed_until() const;
    /// Whether changes are arriving from the store at present.
    bool is_receiving() const;

private:
    void poll(const std::string& relay);
    void on_page(time_point request_time, leaf::result<message_body> result);
    void apply(time_point request_time, const relay_page& page);
    void fail_relay(relay_failure failure);
    void step_later(duration delay = duration{0});
    void watch_directly();
    void stop_direct_watch();
    void check_direct_watch();
    /// Whether the age of the copy is limited and exceeded.
    bool is_too_old() const;
    void on_direct_changes(leaf::result<std::vector<watch_event>> result);
    /// Reports events; returns false if the callback has cancelled the watch.
    bool report(const std::vector<watch_event>& events);
    void end();

    relayed_watch_settings m_settings;
    timer_service& m_timers;
    relayed_watch_owner& m_owner;
    std::string m_prefix;
    // All changes up to this revision have been reported.
    std::int64_t m_revision;
    watch_callback m_on_change;
    std::optional<time_point> m_confirmed_until;
    std::string m_relay;
    // The relay that the last poll was sent to, to which the first poll does not wait.
    std::string m_polled_relay;
    peer_call_id m_poll_id = 0;
    watch_id m_direct_watch = 0;
    timer_id m_timer = 0;
    bool m_has_ended = false;
};

} // namespace mulberry
