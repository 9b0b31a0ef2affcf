#pragma once

#include "fakes/virtualtimerservice.h"
#include "libs/base/randomsource.h"
#include "plugins/retry/earnedretrybudget.h"
#include "plugins/retry/retrypolicy.h"
#include "plugins/routing/upstreamselector.h"
#include "plugins/throttle/entrythrottle.h"
#include "tools/overloadexperiment/deployment.h"
#include "tools/overloadexperiment/gate.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// What decides at the hops: the slices, a fixed limit with three attempts per hop, or nothing at all.
enum class control_mode : std::uint8_t { slices, fixed_limit, none };

/// One attempt of a caller with all calls below it.
struct request_tree {
    std::string organisation;
    importance level = importance::normal;
    time_point deadline;
    /// Own work of all upstreams so far.
    duration work{0};
    bool settled = false;
};
using tree_ptr = std::shared_ptr<request_tree>;

struct hop_answer {
    bool succeeded = false;
    refusal why;
    /// The failure arose below the hop that answers.
    bool failed_below = false;
    bool retries_exhausted = false;
    std::uint32_t unused_attempts = 0;
    load_report report;
};
using answer_callback = std::function<void(const hop_answer&)>;

/// What all parts of one run share.
struct run_context {
    const deployment& plan;
    control_mode mode;
    admission_settings admission;
    throttle_settings throttle;
    virtual_timer_service timers;
    seeded_random_source random;
    /// Work for trees that were settled before it was done.
    duration late_work{0};

    void account(request_tree& tree, duration work) { (tree.settled ? late_work : tree.work) += work; }
};

class upstream_node;
using upstream_map = std::map<std::string, std::unique_ptr<upstream_node>, std::less<>>;

/// The calling side of a node for the next service: choice of the upstream and retries.
class call_sender {
public:
    call_sender(run_context& context, upstream_map& upstreams, std::string own_name, node_location location,
                std::string service);

    void call(const tree_ptr& tree, std::uint32_t lent, answer_callback done);

private:
    struct pending_call;

    std::optional<std::string> choose(const pending_call& pending);
    void attempt(const std::shared_ptr<pending_call>& pending);
    void on_answer(const std::shared_ptr<pending_call>& pending, const std::string& target, std::uint32_t loan,
                   time_point sent, const hop_answer& answer);
    void observe(const std::string& target, time_point sent, const hop_answer& answer);
    bool retry(const std::shared_ptr<pending_call>& pending, const hop_answer& answer);
    duration latency_to(const upstream_node& target) const;

    run_context& m_context;
    upstream_map& m_upstreams;
    node_location m_location;
    std::string m_service;
    upstream_selector m_selector;
    retry_policy m_policy;
    earned_retry_budget m_budget;
};

/// A guard with its upstream: a gate, work, and a call to the next service if there is one.
class upstream_node final : public admission_listener {
public:
    upstream_node(run_context& context, upstream_map& upstreams, upstream_info info, const service_plan& plan,
                  const service_plan* next);

    void receive(const tree_ptr& tree, std::uint32_t lent, answer_callback reply);
    /// The upstream makes no progress until then.
    void stall_until(time_point end) { m_stalled_until = end; }
    const upstream_info& info() const { return m_info; }

    void on_admitted(const attempt_id& id) override;
    void on_refused(const attempt_id& id, const refusal& why) override;

private:
    struct job {
        tree_ptr tree;
        std::uint32_t lent = 0;
        answer_callback reply;
        time_point started;
        duration work{0};
        timer_id work_timer = 0;
        timer_id deadline_timer = 0;
        bool works = false;
    };

    void work_done(std::uint64_t sequence);
    void finish(std::uint64_t sequence, hop_answer answer);
    duration draw_work();

    run_context& m_context;
    upstream_info m_info;
    duration m_mean_work;
    std::unique_ptr<gate> m_gate;
    std::unique_ptr<call_sender> m_next;
    std::map<std::uint64_t, job> m_jobs;
    std::uint64_t m_last_sequence = 0;
    time_point m_stalled_until;
};

/// The entry of one failure domain.
class entry_node {
public:
    entry_node(run_context& context, upstream_map& upstreams, std::string name, node_location location);

    void handle(const tree_ptr& tree, answer_callback done);

private:
    run_context& m_context;
    entry_throttle m_throttle;
    call_sender m_sender;
};

/// Starts all upstreams of the plan, spread evenly over the failure domains.
void start_upstreams(run_context& context, upstream_map& upstreams);

} // namespace mulberry
