#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// A request body and the number of requests with it that were run.
struct repeated_body {
    std::string body;
    std::uint64_t runs = 0;
};

/// Counts the runs of each request body, so that a test whose requests have distinct bodies detects duplicate runs.
/// Empty bodies are not counted. Thread-safe.
class run_counter {
public:
    void add(std::string_view body);

    std::uint64_t runs_of(std::string_view body) const;
    /// Returns the number of different bodies that were run.
    std::size_t distinct_bodies() const;
    /// Returns up to max_count bodies that were run more than once.
    std::vector<repeated_body> repeated_bodies(std::size_t max_count) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t, std::less<>> m_runs;
};

} // namespace mulberry
