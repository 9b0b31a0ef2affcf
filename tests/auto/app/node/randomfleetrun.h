#pragma once

#include "auto/app/node/testfleet.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry {

/// What a randomised run broke; empty if it held every property.
struct run_report {
    std::vector<std::string> violations;
    int requests = 0;
    int served = 0;
    int faults = 0;
};

/// Deliberate faults of the program, to show that the checks of the run can fail. Tests only.
enum class injected_bug : std::uint8_t {
    none,
    /// The caller's network layer sends every order again after an unknown outcome.
    resend_after_unknown_outcome,
    /// Answers of two requests are swapped.
    swap_responses,
    /// Refusals of requests that ran say that they did not run.
    report_run_as_not_run,
    /// Nodes serve keyed requests although their view is old.
    ignore_view_age,
};

/// Requests of several organisations against a fleet while faults are drawn at any moment, together and twice.
class random_fleet_run {
public:
    random_fleet_run(std::uint64_t seed, duration length, injected_bug broken = injected_bug::none);
    ~random_fleet_run();

    run_report run();

private:
    struct sent_request {
        std::string organisation;
        std::string body;
        bool idempotent = false;
        bool keyed = false;
        int attempts = 0;
        int answers = 0;
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
    void on_answer(const std::string& body, const caller_answer& answer);
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
    void heal();
    void check_requests();
    void check_rates();
    void check_recovery();
    std::string pick_node();
    void violation(std::string text);

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
    std::optional<caller_answer> m_held_back_response;
};

} // namespace mulberry
