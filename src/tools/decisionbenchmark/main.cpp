#include "fakes/virtualtimerservice.h"
#include "libs/base/log.h"
#include "libs/base/randomsource.h"
#include "plugins/admission/admissionqueue.h"
#include "plugins/routing/upstreamselector.h"
#include "plugins/throttle/entrythrottle.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <deque>
#include <vector>

namespace {

using namespace mulberry;

constexpr duration service_time{20'000};

/// Collects the identifiers of admitted requests and ignores refusals.
class admitted_requests final : public admission_listener {
public:
    void on_admitted(const attempt_id& id) override { ids.push_back(id); }
    void on_refused(const attempt_id&, const refusal&) override {}

    std::deque<attempt_id> ids;
};

/// Measures one offer to a full queue with the choice of the request to evict, and one completed request with the
/// choice of the next one.
void admission_decision(benchmark::State& state)
{
    const auto organisations = static_cast<std::uint64_t>(state.range(0));
    const auto queue_limit = static_cast<std::uint32_t>(state.range(1));
    std::vector<std::string> names;
    for (std::uint64_t index = 0; index < organisations; ++index)
        names.push_back(fmt::format("organisation-{}", index));
    virtual_timer_service timers;
    seeded_random_source random(1);
    admitted_requests requests;
    admission_queue queue({.slots = 100, .queue_limit = queue_limit}, timers, requests);
    std::uint64_t sequence = 0;
    const auto offer = [&] {
        queue.offer({{{"sender", 1}, ++sequence},
                     static_cast<importance>(random.uniform(4)),
                     names[random.uniform(organisations)],
                     timers.now() + duration{1'000'000}});
    };
    while (queue.waiting() < queue_limit)
        offer();
    for ([[maybe_unused]] auto each : state) {
        timers.advance(duration{100});
        offer();
        const attempt_id finished = requests.ids.front();
        requests.ids.pop_front();
        queue.finished(finished, service_time, finish_result::succeeded);
        benchmark::DoNotOptimize(queue.report(names.front()));
    }
}
BENCHMARK(admission_decision)->ArgNames({"organisations", "queue"})->ArgsProduct({{8, 64, 512}, {30, 120, 480}});

/// Measures one choice of an upstream from the subset and the accounting of one response.
void routing_decision(benchmark::State& state)
{
    const auto upstreams = static_cast<int>(state.range(0));
    const auto services = static_cast<int>(state.range(1));
    virtual_timer_service timers;
    seeded_random_source random(1);
    upstream_selector selector({}, "self", {"d0", "r0"}, timers, random);
    std::vector<upstream_info> infos;
    std::vector<std::string> names;
    for (int service = 0; service < services; ++service) {
        names.push_back(fmt::format("service-{}", service));
        for (int index = 0; index < upstreams; ++index) {
            const node_location location{fmt::format("d{}", index % 7), fmt::format("r{}", index % 7 / 4)};
            infos.push_back({fmt::format("{}-{}", names.back(), index), 1, names.back(), location,
                             upstream_state::serving, time_point{duration{-60'000'000}}});
        }
    }
    selector.update(infos);
    for ([[maybe_unused]] auto each : state) {
        timers.advance(duration{100});
        const auto chosen = selector.choose(names[random.uniform(names.size())], {{}, 1'000});
        selector.on_sent(*chosen, 1'000);
        selector.on_response(*chosen, service_time, {}, 1'000);
    }
}
BENCHMARK(routing_decision)->ArgNames({"upstreams", "services"})->ArgsProduct({{4, 9, 64}, {4, 160}});

/// Measures one check at the entry and the processing of the load report of one response.
void throttle_decision(benchmark::State& state)
{
    const auto organisations = static_cast<std::uint64_t>(state.range(0));
    std::vector<std::string> names;
    for (std::uint64_t index = 0; index < organisations; ++index)
        names.push_back(fmt::format("organisation-{}", index));
    virtual_timer_service timers;
    seeded_random_source random(1);
    entry_throttle throttle({}, timers, random);
    const load_report overloaded{1.0F, duration{20'000}, importance::normal, 0.5F, 100};
    for ([[maybe_unused]] auto each : state) {
        timers.advance(duration{100});
        const std::string& organisation = names[random.uniform(organisations)];
        benchmark::DoNotOptimize(throttle.check("orders", importance::normal, organisation));
        throttle.observe("orders", "orders-1", organisation, overloaded);
    }
}
BENCHMARK(throttle_decision)->ArgName("organisations")->Arg(8)->Arg(64)->Arg(512);

} // namespace

int main(int argc, char** argv)
{
    mulberry::set_log_level(mulberry::log_level::error);
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
