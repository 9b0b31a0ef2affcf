// The time of day of a machine jumps ahead and back while its target starts anew under its id. Later the target reports
// that it is draining and is acknowledged. Looks for requests that still reach it when the drain time has passed.
#include "fleet.h"

using namespace standin;

namespace {

constexpr int jump_ms = 2400;
constexpr double drain_s = 2.5;
constexpr int senders = 40;
const std::string service = "wuno96b";

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
    json configuration = make_configuration(7, {service});
    configuration["routes"]["r-m2d54xb"] =
        make_route("jepu9.example", "/puka111/", "non_idempotent", service, "1200ms", true);
    platform.put_configuration(configuration);

    std::vector<std::unique_ptr<sidecar>> nodes;
    std::vector<std::unique_ptr<target>> targets;
    const auto start_target = [&](std::size_t index, int clock_offset_ms) {
        sidecar& node = *nodes[index];
        auto each = std::make_unique<target>("i-" + std::to_string(index + 1), service, node.target_port, node.control,
                                             runs, record);
        each->slots = 140;
        each->work_ms = 110;
        each->shift_start(clock_offset_ms);
        each->start();
        record.line("target i-%zu starts; the time of day is %d ms ahead", index + 1, clock_offset_ms);
        return each;
    };
    for (std::size_t index = 0; index < 3; ++index) {
        const std::string name = "sidecar-curepipe-" + std::to_string(index + 1);
        nodes.push_back(
            std::make_unique<sidecar>(name, "curepipe", service, platform.add_machine(name), folder.path()));
        nodes.back()->start();
        targets.push_back(start_target(index, 0));
    }
    if (!wait_until([&] { return std::ranges::all_of(nodes, [](const auto& node) { return node->is_ready(); }); }, 10))
        return exit_not_run;
    record.line("all machines are ready");

    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < senders; ++i) {
        threads.emplace_back([&, i] {
            while (!stop) {
                clients.call(*nodes[i % 2], "POST", "jepu9.example", "/puka111/2f", "", 5000, "{}");
                sleep_ms(400);
            }
        });
    }
    sleep_ms(6000);
    // The target ends and starts again, twice, as one that goes down and up by turns.
    targets[2]->crash();
    sleep_ms(300);
    targets[2] = start_target(2, has_trouble() ? jump_ms : 0);
    sleep_ms(1500);
    targets[2]->crash();
    sleep_ms(300);
    targets[2] = start_target(2, 0);
    sleep_ms(8000);

    targets[2]->is_draining = true;
    const bool acknowledged = targets[2]->send_heartbeat();
    const double acknowledged_at = now_s();
    record.line("target i-3 has reported that it is draining: %s", acknowledged ? "acknowledged" : "not acknowledged");
    sleep_ms(8000);
    targets[2]->deregister();
    targets[2]->crash();
    record.line("target i-3 has deregistered and ends");
    sleep_ms(1500);
    stop = true;
    for (auto& each : threads)
        each.join();

    std::size_t late = 0;
    for (const run_entry& run : runs.entries()) {
        if (run.instance != "i-3" || run.at <= acknowledged_at + drain_s)
            continue;
        ++late;
        record.line("DRAIN: request %s reached target i-3 %.3f s after its leaving was acknowledged",
                    run.request_id.c_str(), run.at - acknowledged_at);
    }
    std::printf("requests that reached the target after the drain time: %zu\n", late);
    if (!acknowledged)
        return exit_not_run;
    return late > 0 ? exit_broken : exit_held;
}
