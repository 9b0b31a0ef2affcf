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

/// What the watchers of a failure domain state about the store. Ages count from when the statement is read.
struct domain_statement {
    std::string domain;
    /// How old the statement is.
    duration age{0};
    /// How long ago a watcher of the domain last got an answer from the store; empty if never.
    std::optional<duration> store_reached_ago;
    /// The highest document revision that the domain's watchers hold or have accepted.
    std::int64_t known_revision = 0;
    /// The revision that every node of the domain has confirmed.
    std::int64_t confirmed_revision = 0;

    bool operator==(const domain_statement&) const = default;
};

/// Default and bounds of the age up to which a view serves keyed requests.
constexpr duration default_view_limit{std::chrono::seconds(2)};
constexpr duration min_view_limit{std::chrono::seconds(1)};
constexpr duration max_view_limit{std::chrono::hours(1)};
/// A domain that got no answer from the store for this long has missed a heartbeat and does not reach it.
constexpr duration out_of_reach_after{std::chrono::milliseconds(1500)};

/// Short form of a domain's name in messages.
std::uint32_t domain_hash(std::string_view domain);

/// Knows how old the view is and what the domains state about the store.
class view_age {
public:
    /// `domains` names every failure domain of the deployment, also those that cannot be heard.
    view_age(timer_service& timers, std::span<const std::string> domains);

    /// Sets the limit from the organisations document; values outside the bounds are clamped.
    void set_limit(duration limit);
    duration limit() const { return m_limit; }
    /// Adds a domain that was heard of; domains are never removed, because a silent one may be cut off.
    void add_domain(std::string_view domain);

    /// The name of the domain with this hash, empty if there is none.
    std::string domain_with_hash(std::uint32_t hash) const;

    /// The view was complete at this time or later.
    void set_fresh_at(time_point as_of);
    /// Age of the view; empty before it was complete once.
    std::optional<duration> age() const;

    /// A statement that came now with the answer to a request sent at this time. One about an unknown domain is
    /// ignored.
    void hear(const domain_statement& statement, time_point request_sent);
    /// What is known of every domain that was heard, with ages as of now.
    std::vector<domain_statement> statements() const;

    /// Whether keyed requests may run: the view is younger than the limit, or every domain states with a statement
    /// younger than the limit that it does not reach the store, and this view holds the revisions they know.
    bool keyed_requests_allowed(std::int64_t held_revision) const;

private:
    struct heard_statement {
        time_point made_at{};
        std::optional<time_point> store_reached_at;
        std::int64_t known_revision = 0;
        std::int64_t confirmed_revision = 0;
    };

    bool store_is_out_of_reach(const heard_statement& statement, std::int64_t held_revision) const;

    timer_service& m_timers;
    duration m_limit = default_view_limit;
    std::optional<time_point> m_fresh_at;
    std::map<std::string, std::optional<heard_statement>, std::less<>> m_domains;
};

} // namespace mulberry
