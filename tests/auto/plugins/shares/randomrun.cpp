#include "randomrun.h"

#include "plugins/shares/messages.pb.h"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <utility>

namespace mulberry::shares {

namespace {

constexpr duration pool_lease = std::chrono::seconds(90);
/// Each run draws its own mean time between faults: with frequent faults much of the rate limit is locked, which can
/// hide a share that is held twice.
constexpr double min_fault_gap_s = 5;
constexpr double fault_gap_range = 20;
constexpr duration sample_interval = std::chrono::milliseconds(250);
constexpr duration recovery_window = std::chrono::seconds(30);
const std::string overloaded_organisation = "large";

struct load {
    std::string organisation;
    cluster_organisation limits;
    double rate = 0;
};

const std::array loads{load{overloaded_organisation, {200, 100}, 400}, load{"small", {10, 20}, 15},
                       load{"bursty", {20, 300}, 40}};

cluster_settings settings_for(const random_run_settings& settings)
{
    cluster_settings result;
    result.seed = settings.seed;
    // The drift allowance covers 1%.
    if (settings.slow_clocks) {
        result.max_drift_ppm = 600'000;
        result.two_speeds = true;
    }
    result.shares.pool_lease = pool_lease;
    result.shares.pool_renewal = std::chrono::seconds(6);
    result.shares.grant_lease = std::chrono::seconds(15);
    result.shares.report_interval = std::chrono::seconds(3);
    result.shares.coordinator_timeout = std::chrono::seconds(15);
    return result;
}

std::string with_doubled_grants(std::string payload)
{
    messages::envelope message;
    if (!message.ParseFromString(payload) || !message.has_grant())
        return payload;
    for (messages::grant_line& line : *message.mutable_grant()->mutable_lines()) {
        messages::share_total& total = *line.mutable_granted();
        total.set_rate(total.rate() * 2);
        total.set_capacity(total.capacity() * 2);
        total.set_level(total.level() * 2);
    }
    return message.SerializeAsString();
}

class random_run {
public:
    explicit random_run(const random_run_settings& settings) : m_settings(settings), m_cluster(settings_for(settings))
    {
        if (settings.doubles_grants)
            m_cluster.set_message_filter(with_doubled_grants);
        m_cluster.on_excess = [this](const std::string& organisation) { record_excess(organisation); };
        for (const load& entry : loads)
            m_cluster.set_limits(entry.organisation, entry.limits);
    }

    random_run_result run()
    {
        for (const load& entry : loads)
            offer(entry);
        sample();
        m_cluster.advance(std::chrono::seconds(20));
        m_faults_enabled = true;
        m_fault_gap_s = min_fault_gap_s * std::pow(fault_gap_range, random().uniform_real());
        draw_fault();
        m_cluster.advance(m_settings.length);
        end_faults();
        // All shares locked by the faults have expired after two pool leases.
        m_cluster.advance(2 * pool_lease + std::chrono::minutes(2));
        const std::uint64_t before = m_cluster.admitted(overloaded_organisation);
        m_cluster.advance(recovery_window);
        const auto admitted = static_cast<double>(m_cluster.admitted(overloaded_organisation) - before);
        m_result.recovered_fraction =
            admitted / (static_cast<double>(loads[0].limits.rate) * to_seconds(recovery_window));
        m_result.mean_held = m_held_sum / m_samples;
        m_result.admitted = m_cluster.admitted(overloaded_organisation);
        return m_result;
    }

private:
    random_source& random() { return m_cluster.random(); }
    std::size_t random_node() { return random().uniform(m_cluster.size()); }
    const std::string& random_domain() { return m_cluster.domain(random().uniform(4)); }

    /// Between 0.1 s and 1.5 pool leases, on a logarithmic scale.
    duration random_duration()
    {
        return from_seconds(0.1 * std::pow(15 * to_seconds(pool_lease), random().uniform_real()));
    }

    void schedule(duration delay, std::function<void()> callback)
    {
        m_cluster.timers().schedule(delay, std::move(callback));
    }

    void record_excess(const std::string& organisation)
    {
        if (m_result.excess++ > 0)
            return;
        const double at = to_seconds(m_cluster.now().time_since_epoch());
        m_result.first_excess = fmt::format("{} at {:.3f} s", organisation, at);
    }

    void sample()
    {
        for (const load& entry : loads) {
            const double held = m_cluster.held_fraction(entry.organisation);
            m_held_sum += held;
            ++m_samples;
            if (held <= m_result.max_held)
                continue;
            m_result.max_held = held;
            m_result.max_held_at =
                fmt::format("{} at {:.3f} s", entry.organisation, to_seconds(m_cluster.now().time_since_epoch()));
        }
        schedule(sample_interval, [this] { sample(); });
    }

    void offer(const load& entry)
    {
        schedule(from_seconds(-std::log(1 - random().uniform_real()) / entry.rate), [this, &entry] {
            offer(entry);
            // Half of the requests go to three nodes, which change every minute.
            const auto minute = static_cast<std::size_t>(to_seconds(m_cluster.now().time_since_epoch()) / 60);
            const bool focused = random().uniform_real() < 0.5;
            const std::size_t node = focused ? (minute * 7 + random().uniform(3)) % m_cluster.size() : random_node();
            m_cluster.request(node, entry.organisation);
        });
    }

    void draw_fault()
    {
        schedule(from_seconds(-std::log(1 - random().uniform_real()) * m_fault_gap_s), [this] {
            if (!m_faults_enabled)
                return;
            start_fault();
            draw_fault();
        });
    }

    void start_fault()
    {
        switch (random().uniform(12)) {
        case 0:
            return start_store_fault({.latency = std::chrono::milliseconds(2), .down = true});
        case 1:
            return start_store_fault({.latency = from_seconds(0.1 + 5 * random().uniform_real())});
        case 2:
            return start_store_fault(
                {.latency = std::chrono::milliseconds(2), .lost_response = random().uniform_real()});
        case 3:
            return start_late_writes();
        case 4:
            return isolate_domain();
        case 5:
            return isolate_node();
        case 6:
            return restart_node();
        case 7:
            return restart_node_as_planned();
        case 8:
            return pause_node();
        case 9:
        case 10:
            return isolate_node();
        default:
            return start_network_fault();
        }
    }

    /// All nodes, the nodes of one domain, or a single node.
    std::vector<std::size_t> random_nodes()
    {
        std::vector<std::size_t> nodes;
        switch (random().uniform(3)) {
        case 0:
            for (std::size_t i = 0; i < m_cluster.size(); ++i)
                nodes.push_back(i);
            return nodes;
        case 1:
            return m_cluster.nodes_in(random_domain());
        default:
            return {random_node_or_coordinator()};
        }
    }

    std::size_t random_node_or_coordinator()
    {
        const std::size_t coordinator = m_cluster.coordinator_of(random_domain());
        return coordinator < m_cluster.size() && random().uniform_real() < 0.5 ? coordinator : random_node();
    }

    void start_store_fault(const store_faults& faults)
    {
        const std::vector<std::size_t> nodes = random_nodes();
        for (const std::size_t node : nodes)
            m_cluster.set_store_faults(node, faults);
        schedule(random_duration(), [this, nodes] {
            for (const std::size_t node : nodes)
                m_cluster.set_store_faults(node, {});
        });
    }

    void start_late_writes()
    {
        const std::vector<std::size_t> nodes = random_nodes();
        for (const std::size_t node : nodes)
            m_cluster.set_late_writes(node, 0.7, from_seconds(20 * random().uniform_real()));
        schedule(random_duration(), [this, nodes] {
            for (const std::size_t node : nodes)
                m_cluster.set_late_writes(node, 0, duration{0});
        });
    }

    void isolate(const std::vector<std::size_t>& nodes, bool from_store)
    {
        const int group = static_cast<int>(1 + random().uniform(3));
        for (const std::size_t node : nodes) {
            m_cluster.network().set_group(m_cluster.name(node), group);
            if (from_store)
                m_cluster.set_store_faults(node, {.down = true});
        }
        schedule(random_duration(), [this, nodes, from_store] {
            for (const std::size_t node : nodes) {
                m_cluster.network().set_group(m_cluster.name(node), 0);
                if (from_store)
                    m_cluster.set_store_faults(node, {});
            }
        });
    }

    void isolate_domain() { isolate(m_cluster.nodes_in(random_domain()), random().uniform_real() < 0.7); }

    void isolate_node()
    {
        std::vector<std::size_t> nodes;
        for (std::uint64_t i = 0; i <= random().uniform(3); ++i)
            nodes.push_back(random_node_or_coordinator());
        isolate(nodes, random().uniform_real() < 0.5);
        for (const std::size_t node : nodes)
            report_dead_later(node);
    }

    void report_dead_later(std::size_t node)
    {
        if (random().uniform_real() < 0.5)
            schedule(from_seconds(1 + 5 * random().uniform_real()), [this, node] { m_cluster.report_dead(node); });
    }

    void restart_node()
    {
        const std::size_t node = random_node_or_coordinator();
        m_cluster.kill(node);
        report_dead_later(node);
        schedule(random_duration(), [this, node] { m_cluster.start(node); });
    }

    void restart_node_as_planned()
    {
        const std::size_t node = random_node_or_coordinator();
        m_cluster.drain(node, [this, node] { schedule(random_duration(), [this, node] { m_cluster.start(node); }); });
    }

    void pause_node()
    {
        const std::size_t node = random_node_or_coordinator();
        m_cluster.pause(node);
        report_dead_later(node);
        schedule(random_duration(), [this, node] { m_cluster.resume(node); });
    }

    void start_network_fault()
    {
        network_faults faults;
        faults.loss = 0.5 * random().uniform_real();
        faults.duplication = 0.5 * random().uniform_real();
        faults.jitter = from_seconds(0.01 * std::pow(1000, random().uniform_real()));
        m_cluster.network().set_faults(faults);
        schedule(random_duration(), [this] { m_cluster.network().set_faults({}); });
    }

    void end_faults()
    {
        m_faults_enabled = false;
        m_cluster.network().set_faults({});
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            m_cluster.network().set_group(m_cluster.name(i), 0);
            m_cluster.set_store_faults(i, {});
            m_cluster.set_late_writes(i, 0, duration{0});
            m_cluster.resume(i);
            m_cluster.start(i);
        }
    }

    random_run_settings m_settings;
    share_cluster m_cluster;
    random_run_result m_result;
    bool m_faults_enabled = false;
    double m_fault_gap_s = 0;
    double m_held_sum = 0;
    double m_samples = 0;
};

} // namespace

random_run_result run_random(const random_run_settings& settings)
{
    return random_run(settings).run();
}

} // namespace mulberry::shares
