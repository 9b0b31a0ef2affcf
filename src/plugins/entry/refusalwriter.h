#pragma once

#include "libs/base/refusal.h"
#include "plugins/entry/callerrequest.h"
#include "plugins/entry/entryparts.h"

#include <string>
#include <string_view>

namespace mulberry::detail {

/// Turns refusals into answers for callers: status, Retry-After and a problem document.
class refusal_writer {
public:
    /// Both outlive the writer.
    refusal_writer(const entry_settings& settings, random_source& random) : m_settings(settings), m_random(random) {}

    caller_answer write(refusal why, std::string_view request_id);

private:
    int status_of(const refusal& why) const;
    std::string retry_after_text(duration interval) const;

    const entry_settings& m_settings;
    random_source& m_random;
};

} // namespace mulberry::detail
