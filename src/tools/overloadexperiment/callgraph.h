#pragma once

#include "fakes/virtualtimerservice.h"
#include "libs/base/randomsource.h"
#include "plugins/retry/earnedretrybudget.h"
#include "plugins/retry/retrypolicy.h"
#include "plugins/routing/upstreamselector.h"
#include "plugins/throttle/entrythrottle.h"
#include "tools/overloadexperiment/deployment.h"
#include "tools/overloadexperiment/requestqueue.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// How each hop handles load: with this project's overload control, with a queue of fixed length and up to three
/// attempts per hop, or with an unbounded queue and no retries.
enum class control_mode : std::uint8_t { overload_control, fixed_limit, no_control };

/// One attempt of a caller together with all downstream calls that it causes.
struct request_tree {
    std::string organisation;
    importance level = importance::normal;
    time_point deadline;
    /// Time that upstreams have spent on this attempt so far, excluding the time they waited for downstream calls.
    duration processing_time{0};
    /// The caller has received a response or has timed out.
    bool is_completed = false;
};
using request_tree_ptr = std::shared_ptr<request_tree>;

struct hop_response {
    bool is_success = false;
    refusal failure;
    /// The failure occurred downstream of the hop that responds.
    bool failed_downstream = false;
    bool retries_exhausted = false;
    std::uint32_t unused_attempts = 0;
    load_report report;
};
using response_callback = std::function<void(const hop_response&)>;

/// State that all parts of one simulation run share.
struct run_context {
    const deployment& topology;
    control_mode mode;
    admission_settings admission;
    throttle_settings throttle;
    virtual_timer_service timers;
    seeded_random_source random;
    /// Time that upstreams spent on attempts that the caller had already completed.
    duration late_processing_time{0};

    void record_processing_time(request_tree& tree, duration spent)
    {
        (tree.is_completed ? late_processing_time : tree.processing_time) += spent;
    }
};

class upstream_node;
using upstream_map = std::map<std::string, std::unique_ptr<upstream_node>, std::less<>>;

/// Client side of a node towards one service: selects an upstream for each attempt and retries failed attempts.
class call_sender {
public:
    call_sender(run_context& context, upstream_map& upstreams, std::string own_name, node_location location,
                std::string service);

    void call(const request_tree_ptr& tree, std::uint32_t reserved_attempts, response_callback done);

private:
    struct pending_call;

    std::optional<std::string> choose_upstream(const pending_call& pending);
    void start_attempt(const std::shared_ptr<pending_call>& pending);
    void on_response(const std::shared_ptr<pending_call>& pending, const std::string& target,
                     std::uint32_t reservation_id, time_point sent_at, const hop_response& response);
    void record_outcome(const std::string& target, time_point sent_at, const hop_response& response);
    /// Schedules another attempt if the control mode permits one; returns whether it did.
    bool schedule_retry(const std::shared_ptr<pending_call>& pending, const hop_response& response);
    duration latency_to(const upstream_node& target) const;

    run_context& m_context;
    upstream_map& m_upstreams;
    node_location m_location;
    std::string m_service;
    upstream_selector m_selector;
    retry_policy m_policy;
    earned_retry_budget m_budget;
};

/// A guard and its upstream: a queue before the slots, the processing itself and, unless the service is the last of the
/// chain, a call to the next service.
class upstream_node final : public admission_listener {
public:
    upstream_node(run_context& context, upstream_map& upstreams, upstream_info info, const service_plan& plan,
                  const service_plan* next);

    void receive(const request_tree_ptr& tree, std::uint32_t reserved_attempts, response_callback reply);
    /// No request that the upstream processes completes before `end`.
    void stall_until(time_point end) { m_stalled_until = end; }
    const upstream_info& info() const { return m_info; }

    void on_admitted(const attempt_id& id) override;
    void on_refused(const attempt_id& id, const refusal& cause) override;

private:
    struct job {
        request_tree_ptr tree;
        std::uint32_t reserved_attempts = 0;
        response_callback reply;
        time_point start_time;
        duration processing_time{0};
        timer_id processing_timer = 0;
        timer_id deadline_timer = 0;
        bool is_processing = false;
    };

    void on_processing_done(std::uint64_t sequence);
    void finish(std::uint64_t sequence, hop_response response);
    duration draw_processing_time();

    run_context& m_context;
    upstream_info m_info;
    duration m_mean_processing_time;
    std::unique_ptr<request_queue> m_queue;
    std::unique_ptr<call_sender> m_next;
    std::map<std::uint64_t, job> m_jobs;
    std::uint64_t m_last_sequence = 0;
    time_point m_stalled_until;
};

/// The entry of one failure domain.
class entry_node {
public:
    entry_node(run_context& context, upstream_map& upstreams, std::string name, node_location location);

    void handle(const request_tree_ptr& tree, response_callback done);

private:
    run_context& m_context;
    entry_throttle m_throttle;
    call_sender m_sender;
};

/// Creates all upstreams of the topology, spread evenly over the failure domains.
void start_upstreams(run_context& context, upstream_map& upstreams);

} // namespace mulberry
