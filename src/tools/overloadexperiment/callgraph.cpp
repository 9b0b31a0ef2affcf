#include "tools/overloadexperiment/callgraph.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberry {

namespace {

constexpr std::uint32_t entry_allowance = 3;
constexpr unsigned fixed_attempts_per_hop = 3;
constexpr std::uint64_t message_bytes = 2'000;
constexpr duration local_latency{200};
/// All upstreams are past their cold start.
constexpr time_point long_ago{duration{-60'000'000}};

upstream_info info_of(const deployment& plan, const service_plan& service, unsigned index)
{
    return {fmt::format("{}-{}", service.name, index),
            1,
            service.name,
            plan.domains[index % plan.domains.size()],
            upstream_state::serving,
            long_ago};
}

std::vector<upstream_info> infos_of(const deployment& plan)
{
    std::vector<upstream_info> infos;
    for (const service_plan& service : plan.chain) {
        for (unsigned index = 0; index < service.upstreams; ++index)
            infos.push_back(info_of(plan, service, index));
    }
    return infos;
}

} // namespace

struct call_sender::pending_call {
    tree_ptr tree;
    attempt_allowance allowance;
    answer_callback done;
    std::uint32_t attempts = 0;
    std::vector<std::string> excluded;
};

call_sender::call_sender(run_context& context, upstream_map& upstreams, std::string own_name, node_location location,
                         std::string service)
    : m_context(context), m_upstreams(upstreams), m_location(location), m_service(std::move(service)),
      m_selector({}, std::move(own_name), location, context.timers, context.random),
      m_policy({}, context.timers, context.random), m_budget({}, context.timers)
{
    m_selector.update(infos_of(context.plan));
}

void call_sender::call(const tree_ptr& tree, std::uint32_t lent, answer_callback done)
{
    attempt(std::make_shared<pending_call>(pending_call{tree, attempt_allowance(lent), std::move(done), 0, {}}));
}

std::optional<std::string> call_sender::choose(const pending_call& pending)
{
    if (m_context.mode == control_mode::slices)
        return m_selector.choose(m_service, {pending.excluded, message_bytes});
    const auto subset = m_selector.subset(m_service);
    return subset[m_context.random.uniform(subset.size())];
}

void call_sender::attempt(const std::shared_ptr<pending_call>& pending)
{
    ++pending->attempts;
    const auto name = choose(*pending);
    if (!name) {
        hop_answer none;
        none.why = not_run(refusal_reason::no_upstream);
        none.unused_attempts = pending->allowance.remaining();
        return pending->done(none);
    }
    upstream_node& target = *m_upstreams.find(*name)->second;
    const auto loan = pending->allowance.lend(pending->allowance.part_to_lend());
    const time_point sent = m_context.timers.now();
    const duration latency = latency_to(target);
    m_selector.on_sent(*name, message_bytes);
    auto reply = [this, pending, name = *name, loan, sent, latency](const hop_answer& answer) {
        m_context.timers.schedule(
            latency, [this, pending, name, loan, sent, answer] { on_answer(pending, name, loan.id, sent, answer); });
    };
    m_context.timers.schedule(latency, [&target, pending, loan, reply = std::move(reply)] {
        target.receive(pending->tree, loan.attempts, reply);
    });
}

void call_sender::on_answer(const std::shared_ptr<pending_call>& pending, const std::string& target, std::uint32_t loan,
                            time_point sent, const hop_answer& answer)
{
    pending->allowance.give_back(loan, answer.unused_attempts);
    observe(target, sent, answer);
    if (!answer.succeeded) {
        pending->excluded.push_back(target);
        if (retry(pending, answer))
            return;
    }
    hop_answer passed = answer;
    passed.retries_exhausted = !answer.succeeded;
    passed.unused_attempts = pending->allowance.remaining();
    pending->done(passed);
}

void call_sender::observe(const std::string& target, time_point sent, const hop_answer& answer)
{
    if (answer.succeeded) {
        m_budget.on_success();
        return m_selector.on_answer(target, m_context.timers.now() - sent, answer.report, message_bytes);
    }
    if (answer.failed_below)
        return m_selector.on_abandoned(target);
    if (answer.why.result == outcome::not_run)
        return m_selector.on_refused(target);
    m_selector.on_failed(target);
}

bool call_sender::retry(const std::shared_ptr<pending_call>& pending, const hop_answer& answer)
{
    if (m_context.mode == control_mode::none)
        return false;
    duration delay{0};
    if (m_context.mode == control_mode::fixed_limit) {
        if (pending->attempts >= fixed_attempts_per_hop)
            return false;
    }
    else {
        failed_attempt failed;
        failed.failure = answer.why;
        failed.level = pending->tree->level;
        failed.idempotent = true;
        failed.next_hop_failed = !answer.failed_below;
        failed.retries_exhausted = answer.retries_exhausted;
        failed.attempts_made = pending->attempts;
        failed.deadline = pending->tree->deadline;
        const auto verdict = m_policy.on_failure(failed, pending->allowance, m_budget);
        if (std::holds_alternative<retry_refusal>(verdict))
            return false;
        delay = std::get<retry_decision>(verdict).delay;
    }
    m_context.timers.schedule(delay, [this, pending] { attempt(pending); });
    return true;
}

duration call_sender::latency_to(const upstream_node& target) const
{
    const node_location& other = target.info().location;
    if (other.region != m_location.region)
        return m_context.plan.region_latency;
    return other.failure_domain == m_location.failure_domain ? local_latency : m_context.plan.domain_latency;
}

upstream_node::upstream_node(run_context& context, upstream_map& upstreams, upstream_info info,
                             const service_plan& plan, const service_plan* next)
    : m_context(context), m_info(std::move(info)), m_mean_work(plan.work)
{
    if (context.mode == control_mode::slices) {
        admission_settings settings = context.admission;
        settings.slots = plan.slots;
        m_gate = std::make_unique<admission_gate>(settings, context.timers, *this);
    }
    else {
        const bool bounded = context.mode == control_mode::fixed_limit;
        const std::size_t queue_limit = bounded ? plan.slots : std::numeric_limits<std::size_t>::max();
        m_gate = std::make_unique<fifo_gate>(plan.slots, queue_limit, *this);
    }
    if (next != nullptr)
        m_next = std::make_unique<call_sender>(context, upstreams, m_info.name, m_info.location, next->name);
}

void upstream_node::receive(const tree_ptr& tree, std::uint32_t lent, answer_callback reply)
{
    const std::uint64_t sequence = ++m_last_sequence;
    m_jobs.emplace(sequence, job{tree, lent, std::move(reply), {}, duration{0}, 0, 0, false});
    m_gate->offer({{{"sender", 1}, sequence}, tree->level, tree->organisation, tree->deadline});
}

void upstream_node::on_admitted(const attempt_id& id)
{
    const std::uint64_t sequence = id.sequence;
    job& started = m_jobs.at(sequence);
    started.started = m_context.timers.now();
    started.work = draw_work();
    started.works = true;
    started.work_timer = m_context.timers.schedule(started.work, [this, sequence] { work_done(sequence); });
    if (m_context.mode != control_mode::slices)
        return;
    started.deadline_timer = m_context.timers.schedule(started.tree->deadline - started.started, [this, sequence] {
        hop_answer late;
        late.why = {refusal_reason::deadline_expired, outcome::unknown, duration{0}};
        late.failed_below = !m_jobs.at(sequence).works;
        finish(sequence, late);
    });
}

void upstream_node::on_refused(const attempt_id& id, const refusal& why)
{
    hop_answer answer;
    answer.why = why;
    answer.unused_attempts = m_jobs.at(id.sequence).lent;
    answer.report = m_gate->report(m_jobs.at(id.sequence).tree->organisation);
    const auto node = m_jobs.extract(id.sequence);
    node.mapped().reply(answer);
}

void upstream_node::work_done(std::uint64_t sequence)
{
    job& done = m_jobs.at(sequence);
    const time_point now = m_context.timers.now();
    if (now < m_stalled_until) {
        const duration rest = m_stalled_until - now + from_seconds(to_seconds(done.work) * m_context.random.unit());
        done.work_timer = m_context.timers.schedule(rest, [this, sequence] { work_done(sequence); });
        return;
    }
    done.works = false;
    m_context.account(*done.tree, done.work);
    hop_answer answer;
    answer.succeeded = true;
    answer.unused_attempts = done.lent;
    if (!m_next)
        return finish(sequence, answer);
    m_next->call(done.tree, done.lent, [this, sequence](const hop_answer& below) {
        // The deadline may have ended the job before.
        if (!m_jobs.contains(sequence))
            return;
        hop_answer passed = below;
        passed.failed_below = !below.succeeded;
        passed.why.result = outcome::ran;
        finish(sequence, passed);
    });
}

void upstream_node::finish(std::uint64_t sequence, hop_answer answer)
{
    const auto node = m_jobs.extract(sequence);
    const job& ended = node.mapped();
    const time_point now = m_context.timers.now();
    m_context.timers.cancel(ended.work_timer);
    m_context.timers.cancel(ended.deadline_timer);
    if (ended.works)
        m_context.account(*ended.tree, std::min(now - ended.started, ended.work));
    finish_result result = answer.succeeded ? finish_result::succeeded : finish_result::failed;
    if (answer.why.reason == refusal_reason::deadline_expired && !answer.succeeded)
        result = finish_result::timed_out;
    m_gate->finished({{"sender", 1}, sequence}, now - ended.started, result);
    answer.report = stricter(m_gate->report(ended.tree->organisation), answer.report);
    ended.reply(answer);
}

duration upstream_node::draw_work()
{
    // Half of the time is fixed, half is exponentially distributed.
    const double factor = 0.5 - 0.5 * std::log(1 - m_context.random.unit());
    return from_seconds(to_seconds(m_mean_work) * factor);
}

entry_node::entry_node(run_context& context, upstream_map& upstreams, std::string name, node_location location)
    : m_context(context), m_throttle(context.throttle, context.timers, context.random),
      m_sender(context, upstreams, std::move(name), std::move(location), context.plan.chain.front().name)
{
}

void entry_node::handle(const tree_ptr& tree, answer_callback done)
{
    const std::string& service = m_context.plan.chain.front().name;
    if (m_context.mode != control_mode::slices)
        return m_sender.call(tree, 0, std::move(done));
    if (const auto refused = m_throttle.check(service, tree->level, tree->organisation)) {
        hop_answer answer;
        answer.why = *refused;
        return done(answer);
    }
    m_sender.call(tree, entry_allowance, [this, tree, service, done = std::move(done)](const hop_answer& answer) {
        m_throttle.observe(service, "any", tree->organisation, answer.report);
        done(answer);
    });
}

void start_upstreams(run_context& context, upstream_map& upstreams)
{
    const auto& chain = context.plan.chain;
    for (std::size_t index = 0; index < chain.size(); ++index) {
        const service_plan* next = index + 1 < chain.size() ? &chain[index + 1] : nullptr;
        for (unsigned each = 0; each < chain[index].upstreams; ++each) {
            upstream_info info = info_of(context.plan, chain[index], each);
            const std::string name = info.name;
            upstreams[name] = std::make_unique<upstream_node>(context, upstreams, std::move(info), chain[index], next);
        }
    }
}

} // namespace mulberry
