#pragma once

#include "libs/base/timerservice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// What the watchers of a failure domain report about the store. Ages are relative to the time at which the statement
/// is read.
struct domain_statement {
    std::string domain;
    duration age{0};
    /// Time since a watcher of the domain last had a response from the store; empty if it never had one.
    std::optional<duration> store_reached_ago;
    /// The highest document revision that the watchers of the domain hold or have accepted.
    std::int64_t known_revision = 0;
    /// The revision that all nodes of the domain have confirmed.
    std::int64_t confirmed_revision = 0;

    bool operator==(const domain_statement&) const = default;
};

/// Default and bounds of the maximum age of a view for requests with an API key.
constexpr duration default_view_limit{std::chrono::seconds(2)};
constexpr duration min_view_limit{std::chrono::seconds(1)};
constexpr duration max_view_limit{std::chrono::hours(1)};
/// A domain that had no response from the store for this long has missed a heartbeat and counts as unable to reach the
/// store.
constexpr duration store_unreachable_after{std::chrono::milliseconds(1500)};

/// Hash that identifies a failure domain in messages.
std::uint32_t domain_hash(std::string_view domain);

/// Tracks the age of the view and the statements of the failure domains about the store.
class view_age {
public:
    /// `domains` lists every failure domain of the deployment, including unreachable ones.
    view_age(timer_service& timers, std::span<const std::string> domains);

    /// Sets the maximum age of the view, which is configured in the organisations document. Values outside the bounds
    /// are clamped.
    void set_limit(duration limit);
    duration limit() const { return m_limit; }
    /// Adds a domain that has members. Domains are never removed, because a domain that sends nothing may be cut off.
    void add_domain(std::string_view domain);

    /// The name of the domain with this hash; empty if there is none.
    std::string domain_with_hash(std::uint32_t hash) const;

    /// Records that the view has every change that was made up to this time. Earlier times than the recorded one are
    /// ignored.
    void set_complete_as_of(time_point as_of);
    /// Age of the view; empty if it has never been complete.
    std::optional<duration> age() const;

    /// Records a statement that has just been received in the response to a request sent at the given time. Statements
    /// about unknown domains are ignored.
    void record_statement(const domain_statement& statement, time_point request_sent);
    /// The recorded statement of every domain that has one, with ages relative to now.
    std::vector<domain_statement> statements() const;

    /// Whether requests with an API key may run. They may if the view is younger than the limit. They may also if every
    /// domain reports, in a statement younger than the limit, that it cannot reach the store, and this view has the
    /// revisions known to the domains: then no newer document can have been accepted.
    bool keyed_requests_allowed(std::int64_t held_revision) const;

private:
    struct received_statement {
        time_point reported_at{};
        std::optional<time_point> store_reached_at;
        std::int64_t known_revision = 0;
        std::int64_t confirmed_revision = 0;
    };

    /// Whether a recent statement reports that its domain cannot reach the store and has no newer revision than this
    /// view.
    bool reports_store_unreachable(const received_statement& statement, std::int64_t held_revision) const;

    timer_service& m_timers;
    duration m_limit = default_view_limit;
    std::optional<time_point> m_complete_as_of;
    std::map<std::string, std::optional<received_statement>, std::less<>> m_domains;
};

} // namespace mulberry
