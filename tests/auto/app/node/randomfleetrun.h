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
enum class sabotage : std::uint8_t {
    none,
    /// The caller's network layer sends every order again after an unknown outcome.
    resend_unknown,
    /// Answers of two requests are swapped.
    swap_answers,
    /// Refusals of requests that ran say that they did not run.
    claim_not_run,
    /// Nodes serve keyed requests although their view is old.
    stale_view,
};

/// Requests of several organisations against a fleet while faults are drawn at any moment, together and twice.
class random_fleet_run {
public:
    random_fleet_run(std::uint64_t seed, duration length, sabotage broken = sabotage::none);
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

    void send_some();
    void send_request(const std::string& body);
    void issue_key_then_send(const std::string& body);
    void on_answer(const std::string& body, const caller_answer& answer);
    void on_run(const std::string& service, const http_request& request);
    void repeat_order(const std::string& body);
    void draw_fault();
    void draw_network_fault();
    void cut_off_from_store(const std::string& domain);
    void cut_off_from_everything(const std::string& domain);
    void draw_store_fault();
    void draw_node_fault();
    void draw_upstream_fault();
    void change_key();
    void heal();
    void check_requests();
    void check_rates();
    void check_recovery();
    std::string pick_node();
    void violation(std::string text);

    duration m_length;
    sabotage m_broken;
    test_fleet m_fleet;
    seeded_random_source m_random;
    run_report m_report;
    std::map<std::string, sent_request> m_requests;
    std::map<std::string, std::string> m_keys;
    std::map<std::string, time_point> m_withdrawn;
    int m_next_body = 0;
    bool m_changing_key = false;
    std::optional<caller_answer> m_swapped;
};

} // namespace mulberry
