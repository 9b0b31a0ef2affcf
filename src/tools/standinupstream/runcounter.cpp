#include "tools/standinupstream/runcounter.h"

namespace mulberry {

void run_counter::add(std::string_view body)
{
    if (body.empty())
        return;
    const std::lock_guard lock(m_mutex);
    ++m_runs[std::string(body)];
}

std::uint64_t run_counter::runs_of(std::string_view body) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runs.find(body);
    return it == m_runs.end() ? 0 : it->second;
}

std::size_t run_counter::distinct_bodies() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

std::vector<repeated_body> run_counter::repeated_bodies(std::size_t max_count) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<repeated_body> found;
    for (const auto& [body, runs] : m_runs) {
        if (found.size() == max_count)
            break;
        if (runs > 1)
            found.push_back({body, runs});
    }
    return found;
}

} // namespace mulberry
