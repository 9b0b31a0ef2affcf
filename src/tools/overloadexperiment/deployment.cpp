#include "tools/overloadexperiment/deployment.h"

#include <algorithm>
#include <limits>

namespace mulberry {

double deployment::capacity() const
{
    double min_capacity = std::numeric_limits<double>::max();
    // A slot is occupied while the service processes the request and while it waits for the downstream services.
    duration slot_time{0};
    for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
        slot_time += it->processing_time;
        min_capacity = std::min(min_capacity, it->upstreams * it->slots / to_seconds(slot_time));
    }
    return min_capacity;
}

deployment tambour_deployment()
{
    return {"Tambour",
            {{"catalogue", 4, 120, duration{10'000}},
             {"orders", 4, 120, duration{20'000}},
             {"stores", 4, 120, duration{20'000}},
             {"workbench", 4, 30, duration{80'000}}},
            {{"curepipe", "plaines-wilhems"},
             {"floreal", "plaines-wilhems"},
             {"quay", "port-louis"},
             {"caudan", "port-louis"}},
            duration{1'500},
            duration{20'000},
            duration{8'000}};
}

deployment benali_deployment()
{
    return {"Benali",
            {{"catalogue", 6, 110, duration{10'000}},
             {"reservations", 4, 125, duration{20'000}},
             {"caisse", 4, 125, duration{20'000}},
             {"depot", 4, 50, duration{80'000}}},
            {{"casa-port", "casablanca"},
             {"casa-ainsebaa", "casablanca"},
             {"agadir-anza", "agadir"},
             {"agadir-tassila", "agadir"}},
            duration{500},
            duration{20'000},
            duration{3'000}};
}

} // namespace mulberry
