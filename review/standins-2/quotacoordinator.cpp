// The store turns away the machine that gives out the tokens of all tenants, for 9 s. Its duty goes to another machine;
// then it is back. Counts what targets run for one tenant in each span of the quota window.
#include "fleet.h"

using namespace standin;

namespace {

constexpr double rate = 50;
constexpr double burst = 150;
constexpr double window_s = 5;
constexpr double quota_over = 0.1;
constexpr double quota_slack = 20;
constexpr double cut_s = 9;
constexpr int hot_ms = 8000;
/// Between the usual requests of a machine: 30 a second over all machines, as the quota is 1.6 times the usual.
constexpr int usual_pause_ms = 112;
/// Of each machine; with the usual requests eight times the usual over all machines.
constexpr double hot_per_s = 52;
const std::string key = "6wsjnbanfqasnmgkcuyj";

/// Sends requests at a pace from one machine until `end`.
void send_paced(client_log& clients, const sidecar& node, double per_s, double end)
{
    std::vector<std::thread> threads;
    constexpr int senders = 8;
    for (int i = 0; i < senders; ++i) {
        threads.emplace_back([&, i] {
            double next = now_s() + i / per_s;
            while (next < end) {
                const double wait = next - now_s();
                if (wait > 0)
                    sleep_ms(static_cast<int>(wait * 1000));
                clients.call(node, "GET", "hulo84.example", "/leny950/2f", key, 2000);
                next = std::max(next + senders / per_s, now_s());
            }
        });
    }
    for (auto& each : threads)
        each.join();
}

/// The largest number of requests that were sent and run within one span of the window.
std::size_t most_in_a_window(const std::vector<run_entry>& runs, const std::map<std::string, double>& sent, double& at)
{
    std::size_t most = 0;
    for (const auto& [first_id, start] : sent) {
        std::size_t count = 0;
        for (const run_entry& run : runs) {
            const auto found = sent.find(run.request_id);
            count += found != sent.end() && found->second >= start && run.at <= start + window_s ? 1 : 0;
        }
        if (count > most) {
            most = count;
            at = start;
        }
    }
    return most;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2)
        return exit_not_run;
    record_file record(argv[1]);
    work_folder folder;
    if (!record.is_open() || folder.path().empty())
        return exit_not_run;
    store platform;
    run_log runs(record);
    client_log clients(record);
    json configuration = make_configuration(7, {"huvo11a"});
    configuration["routes"]["r-e9itfrz"] =
        make_route("hulo84.example", "/leny950/", "idempotent", "huvo11a", "1200ms", false);
    configuration["tenants"]["pulo780"] = {
        {"api_keys", {key}}, {"priority", 1}, {"rate_per_s", rate}, {"burst", burst}};
    platform.put_configuration(configuration);

    std::vector<std::unique_ptr<sidecar>> nodes;
    std::vector<std::unique_ptr<target>> targets;
    for (const std::string zone : {"caudan", "curepipe", "floreal", "quay"}) {
        const std::string name = "sidecar-" + zone + "-1";
        nodes.push_back(std::make_unique<sidecar>(name, zone, "huvo11a", platform.add_machine(name), folder.path()));
        nodes.back()->start();
        targets.push_back(std::make_unique<target>("i-" + zone, "huvo11a", nodes.back()->target_port,
                                                   nodes.back()->control, runs, record));
        targets.back()->start();
    }
    const bool ready =
        wait_until([&] { return std::ranges::all_of(nodes, [](const auto& node) { return node->is_ready(); }); }, 10);
    if (!ready)
        return exit_not_run;
    record.line("all machines are ready");

    std::atomic<bool> stop{false};
    std::vector<std::thread> usual;
    for (const auto& node : nodes) {
        usual.emplace_back([&clients, &stop, &node = *node] {
            while (!stop) {
                clients.call(node, "GET", "hulo84.example", "/leny950/2f", key, 2000);
                sleep_ms(usual_pause_ms);
            }
        });
    }
    sleep_ms(12000);
    const std::string first = nodes.front()->name;
    const double cut_at = now_s();
    if (has_trouble()) {
        platform.set_mode(first, store_mode::unavailable);
        record.line("the store turns away %s", first.c_str());
        wait_until([&] { return platform.count("mulberry/members/" + first) == 0; }, 8);
        record.line("the entry of %s has lapsed", first.c_str());
        // Removed from the lists of the others 2.5 s to 3 s after that.
        sleep_ms(2900);
    }
    else {
        sleep_ms(8000);
    }
    record.line("the tenant becomes hot");
    std::vector<std::thread> hot;
    for (const auto& node : nodes)
        hot.emplace_back([&, &node = *node] { send_paced(clients, node, hot_per_s, now_s() + hot_ms / 1000.0); });
    const double left = cut_at + cut_s - now_s();
    if (left > 0)
        sleep_ms(static_cast<int>(left * 1000));
    platform.set_mode(first, store_mode::serving);
    record.line("the store serves %s again", first.c_str());
    for (auto& each : hot)
        each.join();
    stop = true;
    for (auto& each : usual)
        each.join();

    std::map<std::string, double> sent;
    for (const call_result& call : clients.results())
        sent[call.request_id] = call.sent_at;
    double at = 0;
    const std::size_t most = most_in_a_window(runs.entries(), sent, at);
    const double bound = (rate * window_s + burst) * (1 + quota_over) + quota_slack;
    record.line("QUOTA: most runs in a span of %.0f s: %zu, from %.3f s; bound %.1f", window_s, most, at, bound);
    std::printf("most runs in a span of %.0f s: %zu; bound %.1f\n", window_s, most, bound);
    return static_cast<double>(most) > bound ? exit_broken : exit_held;
}
