#include "controlfleet.h"

#include "libs/base/log.h"
#include "plugins/keys/keyring.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iostream>

#include <malloc.h>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace mulberry {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Targets from docs/design.md. Those for bytes, core share and memory are per node.
constexpr double max_bytes_per_second = 9'000;
constexpr double max_core_share = 0.017;
constexpr double max_memory_mb = 64;
constexpr double max_change_seconds = 7;
constexpr double max_withdrawal_seconds = 3;
constexpr double max_leaving_seconds = 5;
constexpr double max_refused_share = 0.01;

/// Bytes that HTTP/2 and TLS add to a message on a persistent connection: two frame headers, indexed header fields and
/// two TLS records.
constexpr double frame_bytes = 80;
/// A larger fleet gets more time to settle after its start.
constexpr std::size_t large_fleet_size = 100;
/// Virtual time between two comparisons of all member lists. It is long because, for a large fleet, a comparison takes
/// longer than the simulation itself.
constexpr milliseconds comparison_step{500};
constexpr std::size_t service_documents = 20;
constexpr std::size_t service_document_bytes = 4'000;
constexpr std::size_t organisations_document_bytes = 64'000;
/// One change of a document every 48 s, which is 1,800 per day.
constexpr seconds change_interval{48};

struct channel_rates {
    double bytes_mean = 0;
    double bytes_max = 0;
    double messages_mean = 0;
};

struct fleet_measurements {
    std::size_t nodes = 0;
    std::uint64_t seed = 0;
    std::optional<duration> join_time;
    channel_rates membership_rates;
    channel_rates configuration_rates;
    channel_rates all;
    channel_rates all_framed;
    double core_share = 0;
    double memory_mb = 0;
    double store_calls_per_second = 0;
    std::optional<duration> change_time;
    std::optional<duration> withdrawal_time;
    std::optional<duration> leaving_time;
    std::optional<duration> isolated_withdrawal_time;
    double refused_in_isolated_domain = 0;
    double refused_elsewhere = 0;
    std::optional<duration> merge_time;
    double bytes_while_merging = 0;
    double refused_while_store_down = 0;
    double bytes_while_store_down = 0;
    double framed_bytes_while_store_down = 0;
};

/// Allocated memory in MB. The resident size would include memory of an earlier fleet that was freed but not returned
/// to the system.
double allocated_mb()
{
    const struct mallinfo2 info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::vector<control_network::traffic> traffic_snapshot(control_fleet& fleet)
{
    std::vector<control_network::traffic> sums;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        sums.push_back(fleet.network().traffic_of(i));
    return sums;
}

channel_rates rates_between(const std::vector<control_network::traffic>& before,
                            const std::vector<control_network::traffic>& after, double interval_s,
                            std::span<const control_channel> channels, double overhead_per_message)
{
    channel_rates result;
    for (std::size_t i = 0; i < before.size(); ++i) {
        double bytes = 0;
        double messages = 0;
        for (const control_channel channel : channels) {
            const auto index = static_cast<std::size_t>(channel);
            const auto count = static_cast<double>(after[i][index].messages - before[i][index].messages);
            messages += count;
            bytes += static_cast<double>(after[i][index].bytes - before[i][index].bytes) + overhead_per_message * count;
        }
        result.bytes_mean += bytes / interval_s / static_cast<double>(before.size());
        result.bytes_max = std::max(result.bytes_max, bytes / interval_s);
        result.messages_mean += messages / interval_s / static_cast<double>(before.size());
    }
    return result;
}

constexpr std::array both_channels{control_channel::membership, control_channel::configuration};

class control_experiment {
public:
    control_experiment(std::size_t size, std::uint64_t seed, duration window)
        : m_window(window), m_memory_before(allocated_mb()), m_fleet(size, seed)
    {
        m_result.nodes = size;
        m_result.seed = seed;
    }

    fleet_measurements measure()
    {
        measure_join();
        measure_steady_state();
        measure_change_and_withdrawal();
        measure_leaving();
        measure_domain_isolation();
        measure_store_outage();
        return m_result;
    }

private:
    void measure_join()
    {
        m_result.join_time =
            m_fleet.advance_until([&] { return m_fleet.all_members_known(); }, minutes(10), comparison_step);
        m_fleet.timers().advance(seconds(15));
        for (std::size_t i = 0; i < service_documents; ++i)
            change_document(i);
        m_fleet.write_document(0, std::string(organisations_document_key),
                               std::string(organisations_document_bytes, 'k'));
        // When a whole fleet starts at once, its gossip takes this long to subside.
        m_fleet.timers().advance(m_fleet.size() > large_fleet_size ? minutes(6) : minutes(1));
    }

    void change_document(std::size_t index)
    {
        m_fleet.write_document(index % m_fleet.domains(), service_document_key(fmt::format("service-{:03}", index)),
                               std::string(service_document_bytes, static_cast<char>('a' + m_changes++ % 26)));
    }

    void measure_steady_state()
    {
        const auto before = traffic_snapshot(m_fleet);
        const std::uint64_t calls_before = m_fleet.store_calls();
        const double processor_before = processor_seconds();
        const time_point begin = m_fleet.timers().now();
        for (duration elapsed{0}; elapsed < m_window; elapsed += change_interval) {
            change_document(m_changes % service_documents);
            m_fleet.timers().advance(std::min<duration>(change_interval, m_window - elapsed));
        }
        const double interval = to_seconds(m_fleet.timers().now() - begin);
        const auto after = traffic_snapshot(m_fleet);
        const auto nodes = static_cast<double>(m_fleet.size());
        m_result.core_share = (processor_seconds() - processor_before) / interval / nodes;
        m_result.memory_mb = (allocated_mb() - m_memory_before) / nodes;
        // An open watch counts as one call, made when it was opened.
        m_result.store_calls_per_second = static_cast<double>(m_fleet.store_calls() - calls_before) / interval;
        m_result.membership_rates = rates_between(before, after, interval, std::span(both_channels).first(1), 0);
        m_result.configuration_rates = rates_between(before, after, interval, std::span(both_channels).last(1), 0);
        m_result.all = rates_between(before, after, interval, both_channels, 0);
        m_result.all_framed = rates_between(before, after, interval, both_channels, frame_bytes);
    }

    void measure_change_and_withdrawal()
    {
        const auto killed_relay = m_fleet.find_relay(1);
        if (killed_relay)
            m_fleet.kill(*killed_relay);
        const std::string key = service_document_key("service-000");
        const time_point begin = m_fleet.timers().now();
        const std::int64_t revision = m_fleet.write_document(0, key, "changed with a dead relay");
        if (m_fleet.advance_until([&] { return m_fleet.all_have_revision(key, revision); }, seconds(60)))
            m_result.change_time = m_fleet.timers().now() - begin;
        const auto other_killed_relay = m_fleet.find_relay(2 % m_fleet.domains());
        if (other_killed_relay)
            m_fleet.kill(*other_killed_relay);
        m_result.withdrawal_time = time_to_withdraw(0);
        for (const auto& killed_node : {killed_relay, other_killed_relay}) {
            if (killed_node)
                m_fleet.start(*killed_node);
        }
        m_fleet.advance_until([&] { return m_fleet.all_members_known(); }, minutes(3), comparison_step);
    }

    std::optional<duration> time_to_withdraw(std::size_t domain)
    {
        const std::string key(organisations_document_key);
        const time_point begin = m_fleet.timers().now();
        const std::int64_t revision = m_fleet.write_document(
            domain, key, std::string(organisations_document_bytes, static_cast<char>('a' + m_changes++ % 26)));
        if (revision == 0)
            return std::nullopt;
        if (!m_fleet.advance_until([&] { return m_fleet.is_withdrawn_everywhere(key, revision); }, seconds(60)))
            return std::nullopt;
        return m_fleet.timers().now() - begin;
    }

    void measure_leaving()
    {
        m_fleet.network().set_loss(0.05);
        m_fleet.set_store_faults({milliseconds(2), true, 0});
        const std::size_t leaving_node = m_fleet.size() - 1;
        m_fleet.node(leaving_node).members.set_own_state(member_state::leaving);
        m_result.leaving_time = m_fleet.advance_until(
            [&] { return m_fleet.is_known_in_state(leaving_node, member_state::leaving); }, seconds(60));
        m_fleet.network().set_loss(0);
        m_fleet.set_store_faults({});
        m_fleet.kill(leaving_node);
        m_fleet.start(leaving_node);
        m_fleet.timers().advance(seconds(30));
    }

    /// Share of samples in which a node refuses requests with a key: first outside, then inside the domain.
    std::pair<double, double> refused_shares(duration length, std::optional<std::size_t> domain)
    {
        std::array<double, 2> refused{};
        std::array<double, 2> samples{};
        for (duration elapsed{0}; elapsed < length; elapsed += milliseconds(250)) {
            m_fleet.timers().advance(milliseconds(250));
            for (std::size_t i = 0; i < m_fleet.size(); ++i) {
                if (!m_fleet.is_running(i))
                    continue;
                const std::size_t group = domain && m_fleet.domain_of(i) == *domain ? 1 : 0;
                samples[group] += 1;
                refused[group] += m_fleet.node(i).relay.keyed_requests_allowed() ? 0 : 1;
            }
        }
        return {refused[0] / std::max(samples[0], 1.0), refused[1] / std::max(samples[1], 1.0)};
    }

    void measure_domain_isolation()
    {
        constexpr std::size_t domain = 1;
        m_fleet.network().isolate_domain(static_cast<int>(domain));
        m_fleet.set_store_faults({milliseconds(2), true, 0}, domain);
        m_result.isolated_withdrawal_time = time_to_withdraw(0);
        std::tie(m_result.refused_elsewhere, m_result.refused_in_isolated_domain) = refused_shares(minutes(2), domain);
        m_fleet.network().isolate_domain(-1);
        m_fleet.set_store_faults({}, domain);
        const auto before = traffic_snapshot(m_fleet);
        const time_point begin = m_fleet.timers().now();
        m_result.merge_time =
            m_fleet.advance_until([&] { return m_fleet.all_members_known(); }, minutes(10), comparison_step);
        const double interval = to_seconds(m_fleet.timers().now() - begin);
        // Only membership traffic is counted, without the documents that the domain missed.
        m_result.bytes_while_merging =
            rates_between(before, traffic_snapshot(m_fleet), interval, std::span(both_channels).first(1), 0).bytes_mean;
        m_fleet.timers().advance(seconds(30));
    }

    void measure_store_outage()
    {
        m_fleet.set_store_faults({milliseconds(2), true, 0});
        const auto before = traffic_snapshot(m_fleet);
        const duration length = minutes(2);
        m_result.refused_while_store_down = refused_shares(length, std::nullopt).first;
        const auto after = traffic_snapshot(m_fleet);
        m_result.bytes_while_store_down = rates_between(before, after, to_seconds(length), both_channels, 0).bytes_max;
        m_result.framed_bytes_while_store_down =
            rates_between(before, after, to_seconds(length), both_channels, frame_bytes).bytes_max;
        m_fleet.set_store_faults({});
    }

    duration m_window;
    double m_memory_before = 0;
    control_fleet m_fleet;
    fleet_measurements m_result;
    std::size_t m_changes = 0;
};

std::string format_against_target(double value, double target, const char* format)
{
    return fmt::format(fmt::runtime(format), value) + (value > target ? " MISS" : "");
}

std::string format_against_target(const std::optional<duration>& value, double target_s)
{
    if (!value)
        return "never MISS";
    return format_against_target(to_seconds(*value), target_s, "{:.2f}");
}

void print_header(std::string_view title, std::initializer_list<std::string_view> columns)
{
    std::cout << "\n### " << title << "\n\n| " << fmt::format("{}", fmt::join(columns, " | ")) << " |\n|";
    for (std::size_t i = 0; i < columns.size(); ++i)
        std::cout << "---|";
    std::cout << "\n";
}

void print_tables(const std::vector<fleet_measurements>& all)
{
    print_header("Steady state, per node (payload; bytes sent and received)",
                 {"nodes", "seed", "all start to all known s", "membership B/s", "configuration B/s", "both B/s",
                  "busiest node B/s", "busiest node with framing B/s", "messages/s", "core share (with simulator)",
                  "memory MB", "store calls/s (fleet)"});
    for (const fleet_measurements& each : all) {
        std::cout << fmt::format(
            "| {} | {} | {} | {:.0f} | {:.0f} | {} | {} | {} | {:.1f} | {} | {} | {:.1f} |\n", each.nodes, each.seed,
            format_against_target(each.join_time, 600), each.membership_rates.bytes_mean,
            each.configuration_rates.bytes_mean,
            format_against_target(each.all.bytes_mean, max_bytes_per_second, "{:.0f}"),
            format_against_target(each.all.bytes_max, max_bytes_per_second, "{:.0f}"),
            format_against_target(each.all_framed.bytes_max, max_bytes_per_second, "{:.0f}"), each.all.messages_mean,
            format_against_target(each.core_share, max_core_share, "{:.5f}"),
            format_against_target(each.memory_mb, max_memory_mb, "{:.2f}"), each.store_calls_per_second);
    }
    print_header("Propagation from the operator's call (s)",
                 {"nodes", "seed", "change in force, relay dead", "withdrawal, relay dead",
                  "leaving known, 5% loss, store down", "withdrawal with a domain cut off"});
    for (const fleet_measurements& each : all) {
        std::cout << fmt::format("| {} | {} | {} | {} | {} | {} |\n", each.nodes, each.seed,
                                 format_against_target(each.change_time, max_change_seconds),
                                 format_against_target(each.withdrawal_time, max_withdrawal_seconds),
                                 format_against_target(each.leaving_time, max_leaving_seconds),
                                 format_against_target(each.isolated_withdrawal_time, max_withdrawal_seconds));
    }
    print_header("Faults", {"nodes", "seed", "keyed refused in cut domain", "keyed refused elsewhere",
                            "merged after the cut s", "membership B/s while merging", "keyed refused, store down",
                            "busiest node B/s, store down", "with framing"});
    for (const fleet_measurements& each : all) {
        std::cout << fmt::format(
            "| {} | {} | {:.3f} | {} | {} | {} | {} | {} | {} |\n", each.nodes, each.seed,
            each.refused_in_isolated_domain, format_against_target(each.refused_elsewhere, max_refused_share, "{:.4f}"),
            format_against_target(each.merge_time, 120),
            format_against_target(each.bytes_while_merging, max_bytes_per_second, "{:.0f}"),
            format_against_target(each.refused_while_store_down, max_refused_share, "{:.4f}"),
            format_against_target(each.bytes_while_store_down, max_bytes_per_second, "{:.0f}"),
            format_against_target(each.framed_bytes_while_store_down, max_bytes_per_second, "{:.0f}"));
    }
}

void print_slope(const std::vector<fleet_measurements>& all)
{
    double sum_x = 0;
    double sum_y = 0;
    double sum_m = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    double sum_xm = 0;
    const auto count = static_cast<double>(all.size());
    for (const fleet_measurements& each : all) {
        const auto x = static_cast<double>(each.nodes);
        sum_x += x;
        sum_y += each.all.bytes_mean;
        sum_m += each.memory_mb;
        sum_xx += x * x;
        sum_xy += x * each.all.bytes_mean;
        sum_xm += x * each.memory_mb;
    }
    const double squared_deviations = sum_xx - sum_x * sum_x / count;
    if (squared_deviations <= 0)
        return;
    std::cout << fmt::format("\nSlope per 100 nodes: {:.1f} B/s, {:.3f} MB per node.\n",
                             100 * (sum_xy - sum_x * sum_y / count) / squared_deviations,
                             100 * (sum_xm - sum_x * sum_m / count) / squared_deviations);
}

/// Measures the time to check a known caller key against documents with different numbers of salts.
void print_key_check()
{
    print_header("Key check (the whole call may add 340 us)", {"keys", "salts", "us per check"});
    for (const std::size_t salts : {std::size_t{1}, std::size_t{4}, max_key_salts}) {
        constexpr std::size_t keys = 4'000;
        constexpr std::size_t checks = 100'000;
        std::vector<std::string> texts;
        std::vector<key_entry> entries;
        std::vector<std::vector<std::uint8_t>> salt_values;
        for (std::size_t i = 0; i < salts; ++i)
            salt_values.push_back(generate_salt());
        for (std::size_t i = 0; i < keys; ++i) {
            texts.push_back(generate_key());
            entries.push_back(make_key_entry(fmt::format("organisation-{}", i % 8), fmt::format("{}", i), texts.back(),
                                             salt_values[i % salts])
                                  .value());
        }
        key_ring ring;
        if (!ring.replace(entries))
            return;
        std::size_t found = 0;
        const double begin = processor_seconds();
        for (std::size_t i = 0; i < checks; ++i)
            found += ring.organisation_of(texts[i % keys]).has_value() ? 1 : 0;
        const double elapsed_us = (processor_seconds() - begin) * 1e6;
        std::cout << fmt::format("| {} | {} | {:.2f}{} |\n", keys, salts, elapsed_us / static_cast<double>(checks),
                                 found == checks ? "" : " MISS: keys not found");
    }
}

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::vector<std::size_t> sizes;
    std::vector<std::uint64_t> seeds;
    int window_s = 0;
    options::options_description description("Measures the control plane in virtual time and prints Markdown");
    description.add_options()("help", "print this text")(
        "sizes", options::value(&sizes)->multitoken()->default_value({4, 24, 100, 400, 1400}, "4 24 100 400 1400"),
        "numbers of nodes")("seeds", options::value(&seeds)->multitoken()->default_value({1, 2, 3}, "1 2 3"), "seeds")(
        "window", options::value(&window_s)->default_value(120), "seconds of steady state to measure");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    set_log_level(log_level::error);
    std::vector<fleet_measurements> all;
    for (const std::size_t size : sizes) {
        for (const std::uint64_t seed : seeds)
            all.push_back(control_experiment(size, seed, seconds(window_s)).measure());
    }
    print_tables(all);
    print_slope(all);
    print_key_check();
    return 0;
}

} // namespace

} // namespace mulberry

int main(int argc, char** argv)
{
    try {
        return mulberry::run(argc, argv);
    }
    catch (const boost::program_options::error& error) {
        std::cerr << "controlexperiment: " << error.what() << "\n";
        return 2;
    }
}
