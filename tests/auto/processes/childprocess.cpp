#include "auto/processes/childprocess.h"

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mulberry::processes {

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr int exit_not_started = 127;

/// Runs in the child, so it only makes system calls.
[[noreturn]] void run_program(const std::vector<char*>& arguments, int log, std::size_t max_descriptors)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    if (max_descriptors > 0) {
        const rlimit limit{max_descriptors, max_descriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::execv(arguments.front(), arguments.data());
    ::_exit(exit_not_started);
}

pid_t start_program(const std::vector<std::string>& command, const std::string& log_file, std::size_t max_descriptors)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const pid_t pid = ::fork();
    if (pid == 0)
        run_program(arguments, log, max_descriptors);
    ::close(log);
    return pid;
}

std::filesystem::path process_folder(pid_t pid)
{
    return std::filesystem::path("/proc") / std::to_string(pid);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& log_file,
                             std::size_t max_descriptors)
    : m_pid(start_program(command, log_file, max_descriptors))
{
}

child_process::~child_process()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

bool child_process::is_running()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid > 0;
}

std::size_t child_process::peak_memory_bytes() const
{
    std::ifstream status(process_folder(m_pid) / "status");
    std::string word;
    while (status >> word) {
        std::size_t kibibytes = 0;
        if (word == "VmHWM:" && status >> kibibytes)
            return kibibytes * kibibyte;
    }
    return 0;
}

std::size_t child_process::open_descriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(process_folder(m_pid) / "fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::size_t unread_bytes_at(std::uint16_t port)
{
    constexpr int hexadecimal = 16;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // column titles
    std::size_t sum = 0;
    while (std::getline(table, line)) {
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::istringstream(line) >> slot >> local >> remote >> state >> queues;
        const std::string established = "01";
        if (state == established && std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal) == port)
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return sum;
}

} // namespace mulberry::processes
