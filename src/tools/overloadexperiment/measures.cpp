#include "tools/overloadexperiment/measures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mulberry {

namespace {

/// Two large, two medium and four small organisations.
constexpr std::array organisation_parts{0.25, 0.25, 0.15, 0.15, 0.05, 0.05, 0.05, 0.05};
constexpr std::size_t flooding_organisation = 4;
/// At 8x load, high and critical together ask for 80% of the capacity.
constexpr std::array importance_parts{0.3, 0.6, 0.07, 0.03};
constexpr duration caller_deadline{1'000'000};
constexpr duration shortest_caller_delay{10'000};
constexpr duration longest_caller_delay{100'000};
constexpr duration bucket{100'000};
constexpr std::size_t buckets_per_second = 10;

struct counts {
    double issued = 0;
    double served = 0;
};
using organisation_counts = std::array<counts, all_importances.size()>;

struct logical_request {
    std::size_t organisation = 0;
    importance level = importance::normal;
    unsigned attempts_left = 0;
    bool is_measured = false;
};

class experiment_run {
public:
    explicit experiment_run(const run_plan& plan)
        : m_plan(plan), m_context{plan.plan,     plan.mode, plan.admission,
                                  plan.throttle, {},        seeded_random_source{plan.seed}}
    {
        start_upstreams(m_context, m_upstreams);
        for (const node_location& domain : plan.plan.domains) {
            m_entries.push_back(
                std::make_unique<entry_node>(m_context, m_upstreams, "entry-" + domain.failure_domain, domain));
        }
    }

    run_result execute();

private:
    double rate_of(std::size_t organisation) const;
    void schedule_arrival(std::size_t organisation);
    void issue(const logical_request& request);
    void settle(const logical_request& request, const tree_ptr& tree, bool succeeded);
    bool in_window() const;
    duration draw(duration least, duration most);
    importance draw_importance();
    void start_stall();
    double worst_fair_share() const;
    double recovery() const;

    const run_plan& m_plan;
    run_context m_context;
    upstream_map m_upstreams;
    std::vector<std::unique_ptr<entry_node>> m_entries;
    std::array<organisation_counts, organisation_parts.size()> m_counts{};
    std::vector<double> m_buckets;
    double m_answered = 0;
    duration m_useful{0};
    duration m_wasted{0};
};

double experiment_run::rate_of(std::size_t organisation) const
{
    const double factor = organisation == flooding_organisation ? m_plan.flood : 1;
    return m_plan.plan.capacity() * m_plan.load * organisation_parts[organisation] * factor;
}

void experiment_run::schedule_arrival(std::size_t organisation)
{
    const double gap_s = -std::log(1 - m_context.random.unit()) / rate_of(organisation);
    m_context.timers.schedule(from_seconds(gap_s), [this, organisation] {
        issue({organisation, draw_importance(), m_plan.caller_attempts, in_window()});
        schedule_arrival(organisation);
    });
}

void experiment_run::issue(const logical_request& request)
{
    if (request.is_measured && request.attempts_left == m_plan.caller_attempts)
        m_counts[request.organisation][static_cast<std::size_t>(request.level)].issued += 1;
    const time_point deadline = m_context.timers.now() + caller_deadline;
    auto tree = std::make_shared<request_tree>(
        request_tree{"organisation-" + std::to_string(request.organisation), request.level, deadline, {}, false});
    const duration latency = m_plan.plan.client_latency;
    entry_node& entry = *m_entries[m_context.random.uniform(m_entries.size())];
    const timer_id timeout =
        m_context.timers.schedule(caller_deadline + latency, [this, request, tree] { settle(request, tree, false); });
    m_context.timers.schedule(latency, [this, request, tree, timeout, latency, &entry] {
        entry.handle(tree, [this, request, tree, timeout, latency](const hop_answer& answer) {
            m_context.timers.schedule(latency, [this, request, tree, timeout, succeeded = answer.succeeded] {
                m_context.timers.cancel(timeout);
                settle(request, tree, succeeded);
            });
        });
    });
}

void experiment_run::settle(const logical_request& request, const tree_ptr& tree, bool succeeded)
{
    if (tree->settled)
        return;
    tree->settled = true;
    if (in_window())
        (succeeded ? m_useful : m_wasted) += tree->work;
    if (succeeded) {
        const auto index = static_cast<std::size_t>(m_context.timers.now().time_since_epoch() / bucket);
        m_buckets.resize(std::max(m_buckets.size(), index + 1));
        m_buckets[index] += 1;
        m_answered += in_window() ? 1 : 0;
        if (request.is_measured)
            m_counts[request.organisation][static_cast<std::size_t>(request.level)].served += 1;
        return;
    }
    if (request.attempts_left <= 1)
        return;
    logical_request again = request;
    --again.attempts_left;
    m_context.timers.schedule(draw(shortest_caller_delay, longest_caller_delay), [this, again] { issue(again); });
}

bool experiment_run::in_window() const
{
    const duration now = m_context.timers.now().time_since_epoch();
    return now >= warm_up && now < warm_up + measured;
}

duration experiment_run::draw(duration least, duration most)
{
    return least + from_seconds(to_seconds(most - least) * m_context.random.unit());
}

importance experiment_run::draw_importance()
{
    double point = m_context.random.unit();
    std::size_t index = 0;
    while (index + 1 < importance_parts.size() && point >= importance_parts[index])
        point -= importance_parts[index++];
    return static_cast<importance>(index);
}

void experiment_run::start_stall()
{
    const std::string& deepest = m_plan.plan.chain.back().name;
    for (const auto& [name, node] : m_upstreams) {
        if (node->info().service == deepest)
            node->stall_until(m_context.timers.now() + m_plan.stall);
    }
}

run_result experiment_run::execute()
{
    for (std::size_t organisation = 0; organisation < organisation_parts.size(); ++organisation)
        schedule_arrival(organisation);
    m_context.timers.advance(warm_up);
    const duration late_before = m_context.late_work;
    m_context.timers.advance(measured);
    m_wasted += m_context.late_work - late_before;
    if (m_plan.stall > duration{0}) {
        start_stall();
        m_context.timers.advance(m_plan.stall + watched_after_stall);
    }
    else {
        // Requests of the window are answered under the same load.
        m_context.timers.advance(caller_deadline * 2);
    }
    run_result result;
    result.goodput = m_answered / to_seconds(measured) / m_plan.plan.capacity();
    for (std::size_t level = 0; level < all_importances.size(); ++level) {
        counts sum;
        for (const auto& each : m_counts) {
            sum.issued += each[level].issued;
            sum.served += each[level].served;
        }
        result.served[level] = sum.issued > 0 ? sum.served / sum.issued : 1;
    }
    for (std::size_t organisation = 0; organisation < m_counts.size(); ++organisation) {
        counts sum;
        for (const counts& each : m_counts[organisation]) {
            sum.issued += each.issued;
            sum.served += each.served;
        }
        if (organisation != flooding_organisation && sum.issued > 0)
            result.worst_in_rate = std::min(result.worst_in_rate, sum.served / sum.issued);
    }
    result.worst_fair_share = worst_fair_share();
    result.wasted = to_seconds(m_wasted) / std::max(to_seconds(m_wasted + m_useful), 1e-6);
    result.recovery_s = recovery();
    return result;
}

/// Compares what an organisation was given in total with the max-min fair division, per importance, of all that was
/// given.
double experiment_run::worst_fair_share() const
{
    std::array<counts, organisation_parts.size()> shares{};
    for (std::size_t level = 0; level < all_importances.size(); ++level) {
        std::array<std::size_t, organisation_parts.size()> order{};
        std::iota(order.begin(), order.end(), 0U);
        std::ranges::sort(order, {}, [&](std::size_t each) { return m_counts[each][level].issued; });
        double rest = 0;
        for (const auto& each : m_counts)
            rest += each[level].served;
        double takers = static_cast<double>(order.size());
        for (const std::size_t each : order) {
            const double share = std::min(m_counts[each][level].issued, rest / takers);
            shares[each].issued += share;
            shares[each].served += m_counts[each][level].served;
            rest -= share;
            takers -= 1;
        }
    }
    double worst = 1;
    for (const counts& each : shares)
        worst = std::min(worst, each.issued > 0 ? each.served / each.issued : 1);
    return worst;
}

double experiment_run::recovery() const
{
    if (m_plan.stall == duration{0})
        return 0;
    const auto sum = [this](std::size_t first, std::size_t count) {
        double total = 0;
        for (std::size_t index = first; index < std::min(first + count, m_buckets.size()); ++index)
            total += m_buckets[index];
        return total;
    };
    const auto before = static_cast<std::size_t>((stall_start - warm_up) / bucket);
    const double earlier = sum(static_cast<std::size_t>(warm_up / bucket), before) / static_cast<double>(before);
    const auto end = static_cast<std::size_t>((stall_start + m_plan.stall) / bucket);
    for (std::size_t first = end; first + buckets_per_second <= m_buckets.size(); ++first) {
        if (sum(first, buckets_per_second) >= 0.95 * earlier * buckets_per_second)
            return static_cast<double>(first - end) / buckets_per_second;
    }
    return -1;
}

} // namespace

run_result run(const run_plan& plan)
{
    return experiment_run(plan).execute();
}

} // namespace mulberry
