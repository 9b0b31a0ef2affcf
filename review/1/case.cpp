// TWICE: a machine freezes twice, and a connection to its target is established while it stands still the second time.
// The daemon sends the request on that connection, reports at once that it was not sent, and the request is sent to
// another target as well.

#include "../standins/standins.h"

using namespace review;

namespace {

// Requests a second at the machine that freezes. Its target has slots for 700 a second.
constexpr double rate_per_s = 120;
constexpr double work_s = 0.2;
// The first freeze lets requests pile up. They are passed on together when the machine wakes, and the queue of new
// connections of the target overflows: the opening packets that find no room are sent again after a second, which
// falls into the second freeze.
constexpr double first_freeze_s = 2;
constexpr double pause_s = 0.75;
constexpr double second_freeze_s = 0.5;
constexpr int rounds = 3;
constexpr double round_s = 8;
const std::string host = "orders.example";
const std::string key = "6wsjnbanfqasnmgkcuyj";

json make_configuration()
{
    return {{"version", "r7"},
            {"routes",
             {{"r-orders",
               {{"hostname", host},
                {"path_prefix", "/orders/"},
                {"route_type", "non_idempotent"},
                {"timeout", "5000ms"},
                {"aim", "1500ms"},
                {"priority", 0},
                {"service", "orders"},
                {"max_attempts", 2},
                {"public", false}}}}},
            {"services",
             {{"orders", {{"health_path", "/healthz"}, {"max_connections", 940}, {"protocol", "h1"}, {"tls", false}}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout", "3000ms"},
              {"idle_timeout", "15000ms"}}},
            {"tenants", {{"shops", {{"api_keys", {key}}, {"priority", 1}}}}}};
}

/// Sends requests at a steady rate, each on a connection of its own, until it is stopped.
class traffic {
public:
    explicit traffic(endpoint to) : m_to(std::move(to)), m_thread([this] { run(); }) {}

    void stop()
    {
        m_stopping = true;
        m_thread.join();
        for (std::thread& sender : m_senders)
            sender.join();
    }

private:
    void run()
    {
        const double begin = now_s();
        for (int i = 0; !m_stopping; ++i) {
            sleep_until_s(begin + i / rate_per_s);
            m_senders.emplace_back([this, i] {
                client_request request;
                request.id = "o-" + std::to_string(i);
                request.host = host;
                request.path = "/orders/" + request.id;
                request.key = key;
                request.body = "order " + request.id;
                clients.send(m_to, request);
            });
        }
    }

    endpoint m_to;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_senders;
    std::thread m_thread;
};

/// The whole machine stands still: the daemon, and the target beside it.
void freeze_machine(sidecar& daemon, target& beside, double duration_s)
{
    beside.set_accepting(false);
    daemon.freeze();
    sleep_s(duration_s);
    beside.set_accepting(true);
    daemon.wake();
}

} // namespace

int main(int argc, char** argv)
{
    const options chosen = read_options(argc, argv);
    temporary_folder folder;
    static store platform_store;
    const endpoint store_address = platform_store.listen_at("127.0.0.1");
    platform_store.write("op/config", make_configuration().dump());

    std::vector<std::unique_ptr<sidecar>> fleet;
    std::vector<std::unique_ptr<target>> targets;
    for (int i = 0; i < 2; ++i) {
        const std::string number = std::to_string(i + 1);
        fleet.push_back(
            std::make_unique<sidecar>(make_machine("sidecar-" + number, "zone-" + number, "region-" + number, "orders",
                                                   "127.0.0.1" + number, store_address),
                                      chosen.program, folder.path()));
        fleet.back()->start();
        target_settings settings;
        settings.instance = "i-" + number;
        settings.service = "orders";
        settings.zone = "zone-" + number;
        settings.work_s = work_s;
        settings.address = fleet.back()->where().app;
        settings.control = fleet.back()->where().control;
        targets.push_back(std::make_unique<target>(settings));
        targets.back()->start();
    }
    wait_until_ready(fleet, 15);
    sleep_s(6); // both targets are known everywhere and warm

    traffic orders(fleet[0]->where().outbound);
    sleep_s(3);
    for (int round = 0; round < rounds; ++round) {
        const double begin = now_s();
        if (chosen.trouble) {
            freeze_machine(*fleet[0], *targets[0], first_freeze_s);
            sleep_s(pause_s);
            freeze_machine(*fleet[0], *targets[0], second_freeze_s);
        }
        sleep_until_s(begin + round_s);
    }
    orders.stop();
    end_case(fleet, folder, count_repeated_or_refused_runs(), "TWICE and REFUSED");
}
