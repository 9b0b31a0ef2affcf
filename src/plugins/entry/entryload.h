#pragma once

#include "libs/base/refusal.h"
#include "plugins/calls/callanswer.h"
#include "plugins/entry/entryparts.h"
#include "plugins/entry/entryrequest.h"

#include <optional>
#include <string>

namespace mulberry::detail {

/// What an entry does about load: it refuses requests before any work is done for them, and learns from the answers.
class entry_load {
public:
    /// The parts outlive it.
    explicit entry_load(const entry_parts& parts) : m_parts(parts) {}

    /// By the load of the service itself.
    std::optional<refusal> check(const entry_request& request);
    /// By the load of services further down. Called for requests within the rate of their organisation only: what is
    /// beyond it is no demand.
    std::optional<refusal> check_bottlenecks(const entry_request& request);

    void learn(const entry_request& request, const call_answer& answer);
    /// The request is answered with a refusal.
    void on_refused(const entry_request& request);

private:
    static std::string route_of(const entry_request& request);

    const entry_parts& m_parts;
};

/// Whether a guard refused because its upstream is used to the full. What an upstream sheds by itself does not count,
/// nor a call with too little time left: admitting less would not change that.
bool lacks_room(refusal_reason reason);

} // namespace mulberry::detail
