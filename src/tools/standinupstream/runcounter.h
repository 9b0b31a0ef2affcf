#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// A request body with the number of times that it was run.
struct repeated_body {
    std::string body;
    std::uint64_t runs = 0;
};

/// Counts how often each request body was run, so that a test with distinct bodies finds duplicates. Empty bodies are
/// not counted. Thread-safe.
class run_counter {
public:
    void add(std::string_view body);

    std::uint64_t runs_of(std::string_view body) const;
    std::size_t distinct() const;
    /// Bodies that were run more than once, at most the given number.
    std::vector<repeated_body> repeated(std::size_t most) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t, std::less<>> m_runs;
};

} // namespace mulberry
