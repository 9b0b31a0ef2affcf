#include "tools/overloadexperiment/measures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mulberry {

namespace {

/// Share of the demand of each organisation: two large, two medium and four small ones.
constexpr std::array organisation_shares{0.25, 0.25, 0.15, 0.15, 0.05, 0.05, 0.05, 0.05};
/// Index of the organisation whose demand `flood_factor` multiplies.
constexpr std::size_t flooding_organisation = 4;
/// Share of the requests by importance, from background to critical. At 8x load, the high and critical requests
/// together amount to 80% of the capacity.
constexpr std::array importance_shares{0.3, 0.6, 0.07, 0.03};
constexpr duration caller_deadline{1'000'000};
constexpr duration min_caller_delay{10'000};
constexpr duration max_caller_delay{100'000};
constexpr duration bucket_duration{100'000};
constexpr std::size_t buckets_per_second = 10;

struct request_counts {
    double issued_requests = 0;
    double served_requests = 0;
};
using counts_by_importance = std::array<request_counts, all_importances.size()>;

/// A request as its caller sees it, which may take several attempts.
struct logical_request {
    std::size_t organisation = 0;
    importance level = importance::normal;
    unsigned remaining_attempts = 0;
    /// The request was issued in the measurement window.
    bool is_measured = false;
};

class experiment_run {
public:
    explicit experiment_run(const run_plan& plan)
        : m_plan(plan), m_context{plan.topology, plan.mode, plan.admission,
                                  plan.throttle, {},        seeded_random_source{plan.seed}}
    {
        start_upstreams(m_context, m_upstreams);
        for (const node_location& domain : plan.topology.domains) {
            m_entries.push_back(
                std::make_unique<entry_node>(m_context, m_upstreams, "entry-" + domain.failure_domain, domain));
        }
    }

    run_result execute();

private:
    double request_rate(std::size_t organisation) const;
    void schedule_next_request(std::size_t organisation);
    void issue_attempt(const logical_request& request);
    void complete_attempt(const logical_request& request, const request_tree_ptr& tree, bool succeeded);
    bool is_in_window() const;
    duration draw_duration(duration min, duration max);
    importance draw_importance();
    void start_stall();
    double min_fair_share() const;
    double recovery_seconds() const;

    const run_plan& m_plan;
    run_context m_context;
    upstream_map m_upstreams;
    std::vector<std::unique_ptr<entry_node>> m_entries;
    std::array<counts_by_importance, organisation_shares.size()> m_counts{};
    std::vector<double> m_served_per_bucket;
    double m_served_requests = 0;
    duration m_useful_time{0};
    duration m_wasted_time{0};
};

double experiment_run::request_rate(std::size_t organisation) const
{
    const double factor = organisation == flooding_organisation ? m_plan.flood_factor : 1;
    return m_plan.topology.capacity() * m_plan.load_factor * organisation_shares[organisation] * factor;
}

void experiment_run::schedule_next_request(std::size_t organisation)
{
    const double interval_s = -std::log(1 - m_context.random.uniform_real()) / request_rate(organisation);
    m_context.timers.schedule(from_seconds(interval_s), [this, organisation] {
        issue_attempt({organisation, draw_importance(), m_plan.caller_attempts, is_in_window()});
        schedule_next_request(organisation);
    });
}

void experiment_run::issue_attempt(const logical_request& request)
{
    if (request.is_measured && request.remaining_attempts == m_plan.caller_attempts)
        m_counts[request.organisation][static_cast<std::size_t>(request.level)].issued_requests += 1;
    const time_point deadline = m_context.timers.now() + caller_deadline;
    auto tree = std::make_shared<request_tree>(
        request_tree{"organisation-" + std::to_string(request.organisation), request.level, deadline, {}, false});
    const duration latency = m_plan.topology.client_latency;
    entry_node& entry = *m_entries[m_context.random.uniform(m_entries.size())];
    const timer_id timeout = m_context.timers.schedule(
        caller_deadline + latency, [this, request, tree] { complete_attempt(request, tree, false); });
    m_context.timers.schedule(latency, [this, request, tree, timeout, latency, &entry] {
        entry.handle(tree, [this, request, tree, timeout, latency](const hop_response& response) {
            m_context.timers.schedule(latency, [this, request, tree, timeout, succeeded = response.is_success] {
                m_context.timers.cancel(timeout);
                complete_attempt(request, tree, succeeded);
            });
        });
    });
}

void experiment_run::complete_attempt(const logical_request& request, const request_tree_ptr& tree, bool succeeded)
{
    if (tree->is_completed)
        return;
    tree->is_completed = true;
    if (is_in_window())
        (succeeded ? m_useful_time : m_wasted_time) += tree->processing_time;
    if (succeeded) {
        const auto index = static_cast<std::size_t>(m_context.timers.now().time_since_epoch() / bucket_duration);
        m_served_per_bucket.resize(std::max(m_served_per_bucket.size(), index + 1));
        m_served_per_bucket[index] += 1;
        m_served_requests += is_in_window() ? 1 : 0;
        if (request.is_measured)
            m_counts[request.organisation][static_cast<std::size_t>(request.level)].served_requests += 1;
        return;
    }
    if (request.remaining_attempts <= 1)
        return;
    logical_request next_attempt = request;
    --next_attempt.remaining_attempts;
    m_context.timers.schedule(draw_duration(min_caller_delay, max_caller_delay),
                              [this, next_attempt] { issue_attempt(next_attempt); });
}

bool experiment_run::is_in_window() const
{
    const duration now = m_context.timers.now().time_since_epoch();
    return now >= warm_up_duration && now < warm_up_duration + measurement_duration;
}

duration experiment_run::draw_duration(duration min, duration max)
{
    return min + from_seconds(to_seconds(max - min) * m_context.random.uniform_real());
}

importance experiment_run::draw_importance()
{
    double position = m_context.random.uniform_real();
    std::size_t index = 0;
    while (index + 1 < importance_shares.size() && position >= importance_shares[index])
        position -= importance_shares[index++];
    return static_cast<importance>(index);
}

void experiment_run::start_stall()
{
    const std::string& deepest = m_plan.topology.chain.back().name;
    for (const auto& [name, node] : m_upstreams) {
        if (node->info().service == deepest)
            node->stall_until(m_context.timers.now() + m_plan.stall_duration);
    }
}

run_result experiment_run::execute()
{
    for (std::size_t organisation = 0; organisation < organisation_shares.size(); ++organisation)
        schedule_next_request(organisation);
    m_context.timers.advance(warm_up_duration);
    const duration late_before = m_context.late_processing_time;
    m_context.timers.advance(measurement_duration);
    m_wasted_time += m_context.late_processing_time - late_before;
    if (m_plan.stall_duration > duration{0}) {
        start_stall();
        m_context.timers.advance(m_plan.stall_duration + recovery_limit);
    }
    else {
        // The load continues while the requests that were issued in the window complete.
        m_context.timers.advance(caller_deadline * 2);
    }
    run_result result;
    result.goodput = m_served_requests / to_seconds(measurement_duration) / m_plan.topology.capacity();
    for (std::size_t level = 0; level < all_importances.size(); ++level) {
        request_counts sum;
        for (const auto& each : m_counts) {
            sum.issued_requests += each[level].issued_requests;
            sum.served_requests += each[level].served_requests;
        }
        result.served_shares[level] = sum.issued_requests > 0 ? sum.served_requests / sum.issued_requests : 1;
    }
    for (std::size_t organisation = 0; organisation < m_counts.size(); ++organisation) {
        request_counts sum;
        for (const request_counts& each : m_counts[organisation]) {
            sum.issued_requests += each.issued_requests;
            sum.served_requests += each.served_requests;
        }
        if (organisation != flooding_organisation && sum.issued_requests > 0)
            result.min_in_rate_share = std::min(result.min_in_rate_share, sum.served_requests / sum.issued_requests);
    }
    result.min_fair_share = min_fair_share();
    result.wasted_share = to_seconds(m_wasted_time) / std::max(to_seconds(m_wasted_time + m_useful_time), 1e-6);
    result.recovery_s = recovery_seconds();
    return result;
}

/// Compares the served requests of each organisation with its fair share: per importance, the max-min fair division of
/// all served requests over the organisations.
double experiment_run::min_fair_share() const
{
    // Per organisation: `issued_requests` is the fair share, `served_requests` is what was actually served.
    std::array<request_counts, organisation_shares.size()> shares{};
    for (std::size_t level = 0; level < all_importances.size(); ++level) {
        std::array<std::size_t, organisation_shares.size()> order{};
        std::iota(order.begin(), order.end(), 0U);
        std::ranges::sort(order, {}, [&](std::size_t each) { return m_counts[each][level].issued_requests; });
        double remaining = 0;
        for (const auto& each : m_counts)
            remaining += each[level].served_requests;
        double remaining_organisations = static_cast<double>(order.size());
        for (const std::size_t each : order) {
            const double share = std::min(m_counts[each][level].issued_requests, remaining / remaining_organisations);
            shares[each].issued_requests += share;
            shares[each].served_requests += m_counts[each][level].served_requests;
            remaining -= share;
            remaining_organisations -= 1;
        }
    }
    double worst = 1;
    for (const request_counts& each : shares)
        worst = std::min(worst, each.issued_requests > 0 ? each.served_requests / each.issued_requests : 1);
    return worst;
}

double experiment_run::recovery_seconds() const
{
    if (m_plan.stall_duration == duration{0})
        return 0;
    const auto sum = [this](std::size_t first, std::size_t count) {
        double total = 0;
        for (std::size_t index = first; index < std::min(first + count, m_served_per_bucket.size()); ++index)
            total += m_served_per_bucket[index];
        return total;
    };
    const auto earlier_buckets = static_cast<std::size_t>((stall_start - warm_up_duration) / bucket_duration);
    const double earlier = sum(static_cast<std::size_t>(warm_up_duration / bucket_duration), earlier_buckets) /
                           static_cast<double>(earlier_buckets);
    const auto end = static_cast<std::size_t>((stall_start + m_plan.stall_duration) / bucket_duration);
    for (std::size_t first = end; first + buckets_per_second <= m_served_per_bucket.size(); ++first) {
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
