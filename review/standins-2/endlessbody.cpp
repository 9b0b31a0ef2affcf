// A target in trouble answers some of its requests with bytes without end. The platform kills a process that exceeds
// its memory. Looks for requests of other clients of the machine that a sound target was running and that got no
// answer.
#include "fleet.h"

using namespace standin;

namespace {

constexpr int memory_mb = 260;
/// The largest share of spoilt answers in the site file is 0.05 (garble).
constexpr int answers_for_each_spoilt = 20;
constexpr std::size_t piece_bytes = 64 * 1024;
/// Requests a second for the target in trouble: those that come to one target of the service stores of the site.
constexpr double requests_per_s = 137;
constexpr int senders = 240;
constexpr int kept_connections = 20;
constexpr double length_s = 40;
constexpr std::size_t lost_bound = 3;
const std::string troubled = "huvo11a";
const std::string sound = "wuno96b";

struct kept_call {
    std::string request_id;
    bool answered = false;
    bool is_first = false;
};

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
    json configuration = make_configuration(7, {troubled, sound});
    configuration["routes"]["r-e9itfrz"] =
        make_route("hulo84.example", "/leny950/", "idempotent", troubled, "1200ms", true);
    configuration["routes"]["r-m2d54xb"] =
        make_route("jepu9.example", "/puka111/", "non_idempotent", sound, "1200ms", true);
    platform.put_configuration(configuration);

    deployment_figures figures;
    figures.memory_mb = memory_mb;
    std::vector<std::unique_ptr<sidecar>> nodes;
    for (const std::string name : {"sidecar-curepipe-1", "sidecar-curepipe-2"}) {
        const std::string service = nodes.empty() ? troubled : sound;
        nodes.push_back(
            std::make_unique<sidecar>(name, "curepipe", service, platform.add_machine(name), folder.path(), figures));
        nodes.back()->start();
    }
    sidecar& machine = *nodes[0];
    std::atomic<int> endless_now{0};
    std::atomic<int> answered{0};
    target in_trouble("i-trouble", troubled, machine.target_port, machine.control, runs, record);
    in_trouble.slots = 140;
    in_trouble.work_ms = 40;
    in_trouble.on_request = [&](connection& link, const request& message) -> std::optional<bool> {
        if (!has_trouble() || ++answered % answers_for_each_spoilt != 0)
            return std::nullopt;
        const std::string id = header_of(message.fields, "X-Mulberrygrade-Request-Id");
        record.line("bytes without end for %s, the %dth at once", id.c_str(), ++endless_now);
        std::size_t sent = 0;
        const std::string piece = "10000\r\n" + std::string(piece_bytes, 'y') + "\r\n";
        bool open = link.write("HTTP/1.1 200 OK\r\nX-Mulberrygrade-Request-Id: " + id +
                               "\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (open) {
            open = link.write(piece);
            sent += open ? piece.size() : 0;
        }
        record.line("the caller of %s closes after %zu MB; still %d", id.c_str(), sent / 1'000'000, --endless_now);
        return false;
    };
    in_trouble.start();
    target fine("i-sound", sound, nodes[1]->target_port, nodes[1]->control, runs, record);
    fine.slots = 140;
    fine.work_ms = 210;
    fine.start();
    if (!wait_until([&] { return nodes[0]->is_ready() && nodes[1]->is_ready(); }, 10))
        return exit_not_run;
    record.line("all machines are ready");
    sleep_ms(4000);

    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < senders; ++i) {
        threads.emplace_back([&, i] {
            double next = now_s() + i / requests_per_s;
            while (!stop) {
                sleep_ms(std::max(static_cast<int>((next - now_s()) * 1000), 0));
                if (!stop)
                    clients.call(*nodes[1], "GET", "hulo84.example", "/leny950/2f", "", 5000);
                next = std::max(next + senders / requests_per_s, now_s());
            }
        });
    }
    std::mutex kept_mutex;
    std::vector<kept_call> kept;
    std::atomic<int> last_kept{0};
    for (int i = 0; i < kept_connections; ++i) {
        threads.emplace_back([&] {
            while (!stop) {
                const auto link = connection::to(machine.outbound);
                bool is_first = true;
                while (link && !stop) {
                    const std::string id = "k" + std::to_string(++last_kept);
                    request message{"POST",
                                    "/puka111/2f",
                                    {{"Host", "jepu9.example"},
                                     {"X-Mulberrygrade-Request-Id", id},
                                     {"X-Mulberrygrade-Deadline-Ms", "5000"}},
                                    "{}"};
                    response got;
                    if (link->write(to_wire(message)))
                        got = link->read_response(clock::now() + milliseconds(5000));
                    record.line("kept call id=%s status=%d complete=%d", id.c_str(), got.status, got.complete ? 1 : 0);
                    const std::lock_guard lock(kept_mutex);
                    kept.push_back({id, got.complete, is_first});
                    if (!got.complete)
                        break;
                    is_first = false;
                }
                sleep_ms(50);
            }
        });
    }

    long peak_kb = 0;
    int kills = 0;
    const double end = now_s() + length_s;
    while (now_s() < end && kills == 0) {
        const long used = machine.memory_kb("RssAnon");
        peak_kb = std::max(peak_kb, used);
        int status = 0;
        if (machine.has_ended(status)) {
            record.line("%s has ended by itself, wait status %d", machine.name.c_str(), status);
            ++kills;
        }
        else if (used > memory_mb * 1024L) {
            machine.kill();
            record.line("%s uses %ld KB, over its memory_mb, and is killed", machine.name.c_str(), used);
            ++kills;
        }
        sleep_ms(1);
    }
    sleep_ms(1500);
    stop = true;
    for (auto& each : threads)
        each.join();

    std::set<std::string> ran;
    for (const run_entry& run : runs.entries())
        ran.insert(run.request_id);
    std::size_t lost = 0;
    for (const kept_call& call : kept) {
        if (call.answered || call.is_first || !ran.contains(call.request_id))
            continue;
        ++lost;
        record.line("LOST: %s was passed on to the sound target, and its kept connection closed without an answer",
                    call.request_id.c_str());
    }
    record.line("peak %ld MB of %d MB; processes that ended: %d; lost: %zu, bound %zu", peak_kb / 1024, memory_mb,
                kills, lost, lost_bound);
    std::printf("peak %ld MB of %d MB; processes that ended: %d; lost: %zu, bound %zu\n", peak_kb / 1024, memory_mb,
                kills, lost, lost_bound);
    return kills > 0 && lost > lost_bound ? exit_broken : exit_held;
}
