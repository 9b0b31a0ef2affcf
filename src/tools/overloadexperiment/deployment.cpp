#include "tools/overloadexperiment/deployment.h"

#include <algorithm>
#include <limits>

namespace mulberry {

double deployment::capacity() const
{
    double least = std::numeric_limits<double>::max();
    // A slot is held for the work of the service and of everything below it.
    duration held{0};
    for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
        held += it->work;
        least = std::min(least, it->upstreams * it->slots / to_seconds(held));
    }
    return least;
}

deployment tambour()
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

deployment benali()
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
