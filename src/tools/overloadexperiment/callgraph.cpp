#include "tools/overloadexperiment/callgraph.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberry {

namespace {

/// Retries that an entry allows for one request tree.
constexpr std::uint32_t entry_allowance = 3;
constexpr unsigned fixed_attempts_per_hop = 3;
constexpr std::uint64_t message_bytes = 2'000;
constexpr duration local_latency{200};
/// All upstreams started a minute before the run, so that none of them is in its cold start.
constexpr time_point upstream_start_time{duration{-60'000'000}};

upstream_info make_upstream_info(const deployment& topology, const service_plan& service, unsigned index)
{
    return {fmt::format("{}-{}", service.name, index),
            1,
            service.name,
            topology.domains[index % topology.domains.size()],
            upstream_state::serving,
            upstream_start_time};
}

std::vector<upstream_info> make_upstream_infos(const deployment& topology)
{
    std::vector<upstream_info> infos;
    for (const service_plan& service : topology.chain) {
        for (unsigned index = 0; index < service.upstreams; ++index)
            infos.push_back(make_upstream_info(topology, service, index));
    }
    return infos;
}

} // namespace

struct call_sender::pending_call {
    request_tree_ptr tree;
    attempt_allowance allowance;
    response_callback done;
    std::uint32_t attempts = 0;
    std::vector<std::string> excluded_upstreams;
};

call_sender::call_sender(run_context& context, upstream_map& upstreams, std::string own_name, node_location location,
                         std::string service)
    : m_context(context), m_upstreams(upstreams), m_location(location), m_service(std::move(service)),
      m_selector({}, std::move(own_name), location, context.timers, context.random),
      m_policy({}, context.timers, context.random), m_budget({}, context.timers)
{
    m_selector.update(make_upstream_infos(context.topology));
}

void call_sender::call(const request_tree_ptr& tree, std::uint32_t reserved_attempts, response_callback done)
{
    start_attempt(std::make_shared<pending_call>(
        pending_call{tree, attempt_allowance(reserved_attempts), std::move(done), 0, {}}));
}

std::optional<std::string> call_sender::choose_upstream(const pending_call& pending)
{
    if (m_context.mode == control_mode::overload_control)
        return m_selector.choose(m_service, {pending.excluded_upstreams, message_bytes});
    const auto subset = m_selector.subset(m_service);
    return subset[m_context.random.uniform(subset.size())];
}

void call_sender::start_attempt(const std::shared_ptr<pending_call>& pending)
{
    ++pending->attempts;
    const auto name = choose_upstream(*pending);
    if (!name) {
        hop_response response;
        response.failure = not_run_refusal(refusal_reason::no_upstream);
        response.unused_attempts = pending->allowance.remaining();
        return pending->done(response);
    }
    upstream_node& target = *m_upstreams.find(*name)->second;
    const auto reservation = pending->allowance.reserve_attempts(pending->allowance.default_reservation());
    const time_point sent_at = m_context.timers.now();
    const duration latency = latency_to(target);
    m_selector.on_sent(*name, message_bytes);
    auto reply = [this, pending, name = *name, reservation, sent_at, latency](const hop_response& response) {
        m_context.timers.schedule(latency, [this, pending, name, reservation, sent_at, response] {
            on_response(pending, name, reservation.id, sent_at, response);
        });
    };
    m_context.timers.schedule(latency, [&target, pending, reservation, reply = std::move(reply)] {
        target.receive(pending->tree, reservation.attempts, reply);
    });
}

void call_sender::on_response(const std::shared_ptr<pending_call>& pending, const std::string& target,
                              std::uint32_t reservation_id, time_point sent_at, const hop_response& response)
{
    pending->allowance.return_unused(reservation_id, response.unused_attempts);
    record_outcome(target, sent_at, response);
    if (!response.is_success) {
        pending->excluded_upstreams.push_back(target);
        if (schedule_retry(pending, response))
            return;
    }
    hop_response forwarded = response;
    forwarded.retries_exhausted = !response.is_success;
    forwarded.unused_attempts = pending->allowance.remaining();
    pending->done(forwarded);
}

void call_sender::record_outcome(const std::string& target, time_point sent_at, const hop_response& response)
{
    if (response.is_success) {
        m_budget.on_success();
        return m_selector.on_response(target, m_context.timers.now() - sent_at, response.report, message_bytes);
    }
    if (response.failed_downstream)
        return m_selector.on_abandoned(target);
    if (response.failure.result == outcome::not_run)
        return m_selector.on_refused(target);
    m_selector.on_failed(target);
}

bool call_sender::schedule_retry(const std::shared_ptr<pending_call>& pending, const hop_response& response)
{
    if (m_context.mode == control_mode::no_control)
        return false;
    duration delay{0};
    if (m_context.mode == control_mode::fixed_limit) {
        if (pending->attempts >= fixed_attempts_per_hop)
            return false;
    }
    else {
        failed_attempt failed;
        failed.failure = response.failure;
        failed.level = pending->tree->level;
        failed.idempotent = true;
        failed.next_hop_failed = !response.failed_downstream;
        failed.retries_exhausted = response.retries_exhausted;
        failed.attempts_made = pending->attempts;
        failed.deadline = pending->tree->deadline;
        const auto decision = m_policy.on_failure(failed, pending->allowance, m_budget);
        if (std::holds_alternative<retry_refusal>(decision))
            return false;
        delay = std::get<retry_decision>(decision).delay;
    }
    m_context.timers.schedule(delay, [this, pending] { start_attempt(pending); });
    return true;
}

duration call_sender::latency_to(const upstream_node& target) const
{
    const node_location& other = target.info().location;
    if (other.region != m_location.region)
        return m_context.topology.region_latency;
    return other.failure_domain == m_location.failure_domain ? local_latency : m_context.topology.domain_latency;
}

upstream_node::upstream_node(run_context& context, upstream_map& upstreams, upstream_info info,
                             const service_plan& plan, const service_plan* next)
    : m_context(context), m_info(std::move(info)), m_mean_processing_time(plan.processing_time)
{
    if (context.mode == control_mode::overload_control) {
        admission_settings settings = context.admission;
        settings.slots = plan.slots;
        m_queue = std::make_unique<admission_request_queue>(settings, context.timers, *this);
    }
    else {
        const bool has_limit = context.mode == control_mode::fixed_limit;
        const std::size_t queue_limit = has_limit ? plan.slots : std::numeric_limits<std::size_t>::max();
        m_queue = std::make_unique<fifo_request_queue>(plan.slots, queue_limit, *this);
    }
    if (next != nullptr)
        m_next = std::make_unique<call_sender>(context, upstreams, m_info.name, m_info.location, next->name);
}

void upstream_node::receive(const request_tree_ptr& tree, std::uint32_t reserved_attempts, response_callback reply)
{
    const std::uint64_t sequence = ++m_last_sequence;
    m_jobs.emplace(sequence, job{tree, reserved_attempts, std::move(reply), {}, duration{0}, 0, 0, false});
    m_queue->offer({{{"sender", 1}, sequence}, tree->level, tree->organisation, tree->deadline});
}

void upstream_node::on_admitted(const attempt_id& id)
{
    const std::uint64_t sequence = id.sequence;
    job& admitted = m_jobs.at(sequence);
    admitted.start_time = m_context.timers.now();
    admitted.processing_time = draw_processing_time();
    admitted.is_processing = true;
    admitted.processing_timer =
        m_context.timers.schedule(admitted.processing_time, [this, sequence] { on_processing_done(sequence); });
    if (m_context.mode != control_mode::overload_control)
        return;
    admitted.deadline_timer =
        m_context.timers.schedule(admitted.tree->deadline - admitted.start_time, [this, sequence] {
            hop_response timeout_response;
            timeout_response.failure = {refusal_reason::deadline_expired, outcome::unknown, duration{0}};
            timeout_response.failed_downstream = !m_jobs.at(sequence).is_processing;
            finish(sequence, timeout_response);
        });
}

void upstream_node::on_refused(const attempt_id& id, const refusal& cause)
{
    hop_response response;
    response.failure = cause;
    response.unused_attempts = m_jobs.at(id.sequence).reserved_attempts;
    response.report = m_queue->report(m_jobs.at(id.sequence).tree->organisation);
    const auto extracted = m_jobs.extract(id.sequence);
    extracted.mapped().reply(response);
}

void upstream_node::on_processing_done(std::uint64_t sequence)
{
    job& current = m_jobs.at(sequence);
    const time_point now = m_context.timers.now();
    if (now < m_stalled_until) {
        const duration remaining =
            m_stalled_until - now + from_seconds(to_seconds(current.processing_time) * m_context.random.uniform_real());
        current.processing_timer =
            m_context.timers.schedule(remaining, [this, sequence] { on_processing_done(sequence); });
        return;
    }
    current.is_processing = false;
    m_context.record_processing_time(*current.tree, current.processing_time);
    hop_response response;
    response.is_success = true;
    response.unused_attempts = current.reserved_attempts;
    if (!m_next)
        return finish(sequence, response);
    m_next->call(current.tree, current.reserved_attempts, [this, sequence](const hop_response& downstream_response) {
        // The deadline may already have ended the job.
        if (!m_jobs.contains(sequence))
            return;
        hop_response forwarded = downstream_response;
        forwarded.failed_downstream = !downstream_response.is_success;
        forwarded.failure.result = outcome::ran;
        finish(sequence, forwarded);
    });
}

void upstream_node::finish(std::uint64_t sequence, hop_response response)
{
    const auto extracted = m_jobs.extract(sequence);
    const job& finished_job = extracted.mapped();
    const time_point now = m_context.timers.now();
    m_context.timers.cancel(finished_job.processing_timer);
    m_context.timers.cancel(finished_job.deadline_timer);
    if (finished_job.is_processing) {
        m_context.record_processing_time(*finished_job.tree,
                                         std::min(now - finished_job.start_time, finished_job.processing_time));
    }
    finish_result result = response.is_success ? finish_result::succeeded : finish_result::failed;
    if (response.failure.reason == refusal_reason::deadline_expired && !response.is_success)
        result = finish_result::timed_out;
    m_queue->on_finished({{"sender", 1}, sequence}, now - finished_job.start_time, result);
    response.report = merge_load_reports(m_queue->report(finished_job.tree->organisation), response.report);
    finished_job.reply(response);
}

duration upstream_node::draw_processing_time()
{
    // Half of the mean is a fixed time, the other half is exponentially distributed.
    const double factor = 0.5 - 0.5 * std::log(1 - m_context.random.uniform_real());
    return from_seconds(to_seconds(m_mean_processing_time) * factor);
}

entry_node::entry_node(run_context& context, upstream_map& upstreams, std::string name, node_location location)
    : m_context(context), m_throttle(context.throttle, context.timers, context.random),
      m_sender(context, upstreams, std::move(name), std::move(location), context.topology.chain.front().name)
{
}

void entry_node::handle(const request_tree_ptr& tree, response_callback done)
{
    const std::string& service = m_context.topology.chain.front().name;
    if (m_context.mode != control_mode::overload_control)
        return m_sender.call(tree, 0, std::move(done));
    if (const auto refused = m_throttle.check(service, tree->level, tree->organisation)) {
        hop_response response;
        response.failure = *refused;
        return done(response);
    }
    m_sender.call(tree, entry_allowance, [this, tree, service, done = std::move(done)](const hop_response& response) {
        m_throttle.observe(service, "any", tree->organisation, response.report);
        done(response);
    });
}

void start_upstreams(run_context& context, upstream_map& upstreams)
{
    const auto& chain = context.topology.chain;
    for (std::size_t position = 0; position < chain.size(); ++position) {
        const service_plan* next = position + 1 < chain.size() ? &chain[position + 1] : nullptr;
        for (unsigned index = 0; index < chain[position].upstreams; ++index) {
            upstream_info info = make_upstream_info(context.topology, chain[position], index);
            const std::string name = info.name;
            upstreams[name] =
                std::make_unique<upstream_node>(context, upstreams, std::move(info), chain[position], next);
        }
    }
}

} // namespace mulberry
