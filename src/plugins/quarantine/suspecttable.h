#pragma once

#include "libs/base/time.h"
#include "plugins/calls/requestfingerprint.h"
#include "plugins/quarantine/crashreport.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace mulberry::detail {

/// A request that was running when an upstream crashed.
struct suspected_run {
    request_fingerprint fingerprint = 0;
    crash_id crash = 0;
    /// Whether no other request was running that had been running at several earlier crashes.
    bool is_isolated = false;
    time_point crashed_at;
};

/// The requests that were running when upstreams crashed, with the crashes. A request that an upstream has completed
/// since is cleared of the crashes before. Tables of different nodes can be merged in any order and more than once.
class suspect_table {
public:
    /// Adds a crash of a request. Returns whether that was not known yet.
    bool add_crash(const suspected_run& run, time_point now);
    /// Draws conclusions from the crashes that were added. Called after all requests of a crash have been added,
    /// because it matters which of them share other crashes.
    void update_conclusions();
    /// Records that the request did not cause the crash. Returns whether that was not known yet.
    bool add_cleared(const suspected_run& run, time_point now);
    /// Clears the request of all its crashes. Returns whether there was one that it was not cleared of.
    bool clear(request_fingerprint fingerprint);
    /// Removes the requests whose last crash is too long ago.
    void expire(time_point now);

    /// Number of crashes that the request may have caused.
    std::size_t crash_count(request_fingerprint fingerprint) const;
    /// Whether the request is known to crash upstreams: it has several crashes, and either it was isolated in one of
    /// them, or no other request with as many was running in several of them. Stays true until the request is cleared.
    bool is_conclusive(request_fingerprint fingerprint) const;
    /// Number of requests that are known to crash upstreams.
    std::size_t conclusive_count() const;
    std::size_t size() const { return m_suspects.size(); }

    /// Reports about the given requests.
    std::vector<crash_report> reports(std::span<const request_fingerprint> fingerprints, time_point now) const;
    /// Reports about the requests with several crashes, those with the most crashes first, for at most `max_requests`
    /// of them.
    std::vector<crash_report> reports_of_repeated(std::size_t max_requests, time_point now) const;
    /// Digest of the requests with several crashes; 0 if there are none.
    std::uint64_t digest() const;

    /// Number of crashes from which a request may be known to cause them.
    static constexpr std::size_t conclusive_crashes = 3;
    /// Time for which a request is kept after its last crash.
    static constexpr duration retention = std::chrono::minutes(10);
    /// Time for which a request that is known to crash upstreams is kept.
    static constexpr duration conclusive_retention = std::chrono::hours(1);
    static constexpr std::size_t max_suspects = 2048;

private:
    static constexpr std::size_t max_crashes_per_request = 8;

    struct crash {
        /// 0 if the entry is unused.
        crash_id id = 0;
        bool is_cleared = false;
        bool is_isolated = false;

        bool counts() const { return id != 0 && !is_cleared; }
    };

    struct suspect {
        std::array<crash, max_crashes_per_request> crashes{};
        time_point last_crash;
        bool is_conclusive = false;

        std::size_t crash_count() const;
        /// Number of crashes including those of which the request is cleared.
        std::size_t known_crashes() const;
        bool was_isolated() const;
        crash* find(crash_id id);
        /// Entry for a new crash: an unused one, otherwise one of which the request is cleared. Null if there is none.
        crash* free_entry();
        bool is_expired(time_point now) const;
    };

    suspect& find_or_insert(request_fingerprint fingerprint, time_point now);
    void remove_least_suspicious();

    std::unordered_map<request_fingerprint, suspect> m_suspects;
};

} // namespace mulberry::detail
