// A target deregisters and is acknowledged while the store turns its machine away; the machine's process is killed and
// starts again. Looks for requests that still reach the target when the drain time has passed.
#include "fleet.h"

using namespace standin;

namespace {

constexpr double drain_s = 2.5;
constexpr double stable_window_s = 3;
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
    for (const std::string number : {"1", "2", "3"}) {
        const std::string name = "sidecar-curepipe-" + number;
        nodes.push_back(
            std::make_unique<sidecar>(name, "curepipe", service, platform.add_machine(name), folder.path()));
        nodes.back()->start();
        targets.push_back(std::make_unique<target>("i-" + number, service, nodes.back()->target_port,
                                                   nodes.back()->control, runs, record));
        targets.back()->slots = 140;
        targets.back()->work_ms = 110;
        targets.back()->start();
    }
    if (!wait_until([&] { return std::ranges::all_of(nodes, [](const auto& node) { return node->is_ready(); }); }, 10))
        return exit_not_run;
    record.line("all machines are ready");

    // The clients are on the other machines; those stay in touch all the while.
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
    sleep_ms(8000);
    sidecar& machine = *nodes[2];
    target& leaving = *targets[2];
    if (has_trouble()) {
        platform.set_mode(machine.name, store_mode::unavailable);
        record.line("the store turns away %s", machine.name.c_str());
        sleep_ms(500);
    }
    const bool acknowledged = leaving.deregister();
    const double acknowledged_at = now_s();
    record.line("target i-3 has deregistered: %s", acknowledged ? "acknowledged" : "not acknowledged");
    double in_touch_at = acknowledged_at;
    if (has_trouble()) {
        sleep_ms(300);
        machine.kill();
        record.line("%s is killed", machine.name.c_str());
        sleep_ms(300);
        machine.start();
        record.line("%s starts again", machine.name.c_str());
        sleep_ms(1400);
        platform.set_mode(machine.name, store_mode::serving);
        record.line("the store serves %s again", machine.name.c_str());
        in_touch_at = now_s() + stable_window_s;
    }
    // It serves for many seconds more, then it ends.
    const double end = acknowledged_at + 12;
    sleep_ms(static_cast<int>((end - now_s()) * 1000));
    const double ended_at = now_s();
    leaving.crash();
    record.line("target i-3 ends");
    sleep_ms(1500);
    stop = true;
    for (auto& each : threads)
        each.join();

    std::map<std::string, call_result> calls;
    for (const call_result& call : clients.results())
        calls[call.request_id] = call;
    std::size_t late = 0;
    std::size_t cut = 0;
    const double bound = std::max(acknowledged_at + drain_s, in_touch_at);
    for (const run_entry& run : runs.entries()) {
        if (run.instance != "i-3" || run.at <= bound || calls[run.request_id].sent_at <= bound)
            continue;
        ++late;
        cut += calls[run.request_id].status != 200 ? 1 : 0;
        record.line("DRAIN: request %s reached target i-3 %.3f s after its leaving was acknowledged; its client got %d",
                    run.request_id.c_str(), run.at - acknowledged_at, calls[run.request_id].status);
    }
    record.line("DRAIN: %zu requests reached the target too late, until it ended at %.3f; %zu were not answered by it",
                late, ended_at, cut);
    std::printf("requests that reached the target after the drain time: %zu, of them without its answer: %zu\n", late,
                cut);
    if (!acknowledged)
        return exit_not_run;
    return late > 0 ? exit_broken : exit_held;
}
