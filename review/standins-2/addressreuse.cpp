// A target falls silent and is gone; after `addr_reuse` its address goes to a target of another service, which announces
// itself beside the same machine. Looks for requests of the first service that the new target runs.
#include "fleet.h"

using namespace standin;

namespace {

constexpr double addr_reuse_s = 2;
// Each client sends a request every 1.25 s: 128 a second, about half of what the 35 slots serve at 130 ms each.
constexpr int senders = 160;
constexpr double period_s = 1.25;
const std::string old_service = "wuno96b";
const std::string new_service = "huvo11a";

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
    json configuration = make_configuration(7, {old_service, new_service});
    configuration["routes"]["r-old"] =
        make_route("jepu9.example", "/puka111/", "non_idempotent", old_service, "1000ms", true);
    configuration["routes"]["r-new"] =
        make_route("hulo84.example", "/leny950/", "idempotent", new_service, "1200ms", true);
    platform.put_configuration(configuration);

    std::vector<std::unique_ptr<sidecar>> nodes;
    for (const std::string name : {"sidecar-curepipe-1", "sidecar-curepipe-2"}) {
        const std::string service = nodes.empty() ? old_service : new_service;
        nodes.push_back(
            std::make_unique<sidecar>(name, "curepipe", service, platform.add_machine(name), folder.path()));
        nodes.back()->start();
    }
    sidecar& machine = *nodes[0];
    target first("i-first", old_service, machine.target_port, machine.control, runs, record);
    first.slots = 35;
    first.work_ms = 130;
    first.start();
    target other("i-other", new_service, nodes[1]->target_port, nodes[1]->control, runs, record);
    other.slots = 140;
    other.start();
    if (!wait_until([&] { return nodes[0]->is_ready() && nodes[1]->is_ready(); }, 10))
        return exit_not_run;
    record.line("all machines are ready");

    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < senders; ++i) {
        threads.emplace_back([&, i] {
            double next = now_s() + period_s * i / senders;
            while (!stop) {
                sleep_ms(std::max(static_cast<int>((next - now_s()) * 1000), 0));
                clients.call(*nodes[i % 2], "DELETE", "jepu9.example", "/puka111/2f", "", 2000);
                next = std::max(next + period_s, now_s());
            }
        });
    }
    sleep_ms(6000);
    std::unique_ptr<target> second;
    if (has_trouble()) {
        first.fall_silent();
        record.line("target i-first of %s falls silent and is gone", old_service.c_str());
        sleep_ms(static_cast<int>(addr_reuse_s * 1000) + 500);
        first.leave_address();
        machine.service = new_service;
        machine.write_settings();
        machine.signal(SIGHUP);
        second = std::make_unique<target>("i-second", new_service, machine.target_port, machine.control, runs, record);
        second->slots = 140;
        second->work_ms = 160;
        record.line("its address goes to target i-second of %s", new_service.c_str());
        second->start();
    }
    sleep_ms(5000);
    stop = true;
    for (auto& each : threads)
        each.join();

    std::size_t foreign = 0;
    for (const run_entry& run : runs.entries()) {
        if (run.path.starts_with("/puka111/") && run.service != old_service) {
            ++foreign;
            record.line("ROUTE: request %s of %s was run by %s of %s", run.request_id.c_str(), old_service.c_str(),
                        run.instance.c_str(), run.service.c_str());
        }
    }
    std::printf("requests of %s that a target of %s ran: %zu\n", old_service.c_str(), new_service.c_str(), foreign);
    return foreign > 0 ? exit_broken : exit_held;
}
