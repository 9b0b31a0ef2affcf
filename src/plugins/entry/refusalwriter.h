#pragma once

#include "libs/base/refusal.h"
#include "plugins/entry/callerrequest.h"
#include "plugins/entry/entrydependencies.h"

#include <string>
#include <string_view>

namespace mulberry::detail {

/// Converts refusals to responses with a status, Retry-After and a problem document.
class refusal_writer {
public:
    /// The settings and the random source must outlive the writer.
    refusal_writer(const entry_settings& settings, random_source& random) : m_settings(settings), m_random(random) {}

    caller_response write(refusal cause, std::string_view request_id);

private:
    int status_of(const refusal& cause) const;
    std::string retry_after_text(duration interval) const;

    const entry_settings& m_settings;
    random_source& m_random;
};

} // namespace mulberry::detail
