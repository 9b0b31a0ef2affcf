#pragma once

#include "auto/app/node/testfleet.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry {

/// Result of a randomised run. `violations` is empty if no check failed.
struct run_report {
    std::vector<std::string> violations;
    int requests = 0;
    int served = 0;
    int faults = 0;
};

/// Faults that the run simulates on purpose, to verify that its checks detect them.
enum class injected_bug : std::uint8_t {
    none,
    /// Callers send orders again after an unknown outcome, although these are not idempotent.
    resend_after_unknown_outcome,
    /// The responses of two requests are swapped.
    swap_responses,
    /// Failed requests that ran are reported as not run.
    report_run_as_not_run,
    /// Nodes serve keyed requests although their view exceeds the age limit.
    ignore_view_age,
};

/// Sends requests of several organisations to a fleet while random faults are injected. Faults may occur at any time,
/// overlap and be repeated. After the run, every request is checked against the guarantees of the system.
class random_fleet_run {
public:
    random_fleet_run(std::uint64_t seed, duration length, injected_bug bug = injected_bug::none);
    ~random_fleet_run();

    run_report run();

private:
    struct sent_request {
        std::string organisation;
        std::string body;
        bool idempotent = false;
        bool keyed = false;
        int attempts = 0;
        int responses = 0;
        bool any_served = false;
        bool all_not_run = true;
        time_point first_sent;
        std::optional<time_point> first_run;
        std::optional<time_point> last_sent;
        std::string entry;
    };

    void send_random_request();
    void send_request(const std::string& body);
    void issue_key_then_send(const std::string& body);
    void on_response(const std::string& body, const caller_response& response);
    void on_run(const std::string& service, const http_request& request);
    void repeat_order(const std::string& body);
    void inject_random_fault();
    void inject_network_fault();
    void disconnect_from_store(const std::string& domain);
    void isolate_domain(const std::string& domain);
    void inject_store_fault();
    void inject_node_fault();
    void inject_upstream_fault();
    void toggle_key();
    void clear_faults();
    void check_requests();
    void check_rates();
    void check_recovery();
    std::string pick_node();
    void record_violation(std::string text);

    duration m_length;
    injected_bug m_bug;
    test_fleet m_fleet;
    seeded_random_source m_random;
    run_report m_report;
    std::map<std::string, sent_request> m_requests;
    std::map<std::string, std::string> m_keys;
    std::map<std::string, time_point> m_withdrawn;
    int m_next_body = 0;
    bool m_key_change_in_progress = false;
    std::optional<caller_response> m_held_back_response;
};

} // namespace mulberry
