#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace mulberry::processes {

/// A program of this project that runs as a child process. It is killed at the end of the object's life.
class child_process {
public:
    /// Starts the program. Its output is appended to the log file. If `max_descriptors` is not 0, it is set as the
    /// limit of open descriptors.
    child_process(const std::vector<std::string>& command, const std::string& log_file,
                  std::size_t max_descriptors = 0);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    bool is_running();
    /// Largest resident memory since the start.
    std::size_t peak_memory_bytes() const;
    std::size_t open_descriptors() const;

private:
    pid_t m_pid;
};

/// Received bytes that the processes of this machine have not read yet, over all connections whose local port is this
/// one.
std::size_t unread_bytes_at(std::uint16_t port);

} // namespace mulberry::processes
