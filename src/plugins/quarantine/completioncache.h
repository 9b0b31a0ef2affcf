#pragma once

#include "libs/base/time.h"
#include "plugins/calls/requestfingerprint.h"

#include <array>
#include <memory>

namespace mulberry::detail {

/// Remembers which requests the upstream has completed recently. The memory is fixed; a request may displace another
/// one.
class completion_cache {
public:
    void add(request_fingerprint fingerprint, time_point now);
    /// Whether the request was completed within the retention.
    bool contains(request_fingerprint fingerprint, time_point now) const;

    /// Time for which a completion shows that the request does not crash upstreams.
    static constexpr duration retention = std::chrono::seconds(10);

private:
    static constexpr std::size_t size = 4096;

    struct entry {
        request_fingerprint fingerprint = 0;
        time_point completed_at;
    };

    std::unique_ptr<std::array<entry, size>> m_entries = std::make_unique<std::array<entry, size>>();
};

} // namespace mulberry::detail
