#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/retrytimer.h"
#include "libs/base/timerservice.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/quarantine/crashreport.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// Keeps the reports about requests in quarantine in the store, so that they outlive a restart of all nodes. Each
/// request is one key, which expires after some minutes.
class quarantine_archive {
public:
    using reports_callback = std::function<void(std::vector<crash_report>)>;

    /// `on_read` receives the reports of all requests once they have been read.
    quarantine_archive(timer_service& timers, random_source& random, key_value_store& store, reports_callback on_read);
    ~quarantine_archive();

    /// Starts to read the store. The read is repeated until it succeeds.
    void start();
    /// Writes the reports about a request unless another node has done so. The write is repeated while the store is
    /// away.
    void save(request_fingerprint fingerprint, std::vector<crash_report> reports);

private:
    void read();
    void on_read(leaf::result<range_result> result);
    void write_pending();
    void write(request_fingerprint fingerprint, lease_id lease);

    timer_service& m_timers;
    random_source& m_random;
    key_value_store& m_store;
    reports_callback m_on_read;
    /// Encoded reports that have not been written yet.
    std::map<request_fingerprint, std::string> m_pending;
    bool m_is_writing = false;
    timer_id m_first_read_timer = 0;
    retry_timer m_read_retry;
    retry_timer m_write_retry;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
