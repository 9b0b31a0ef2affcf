#pragma once

#include "libs/base/refusal.h"
#include "plugins/entry/entryparts.h"
#include "plugins/entry/entryrequest.h"

#include <optional>

namespace mulberry::detail {

/// Finds out where a request goes and whether its caller may send it. Each check returns why it refuses, and fills in
/// what it has found.
class entry_checks {
public:
    /// Both outlive the checks.
    entry_checks(const entry_settings& settings, const entry_parts& parts);

    /// Route, size, deadline and bounds of attempts.
    std::optional<refusal> match(entry_request& request) const;
    /// Organisation and importance.
    std::optional<refusal> authenticate(entry_request& request) const;
    std::optional<refusal> check_idempotency_key(entry_request& request) const;
    /// Before each attempt: whether the key is still in force.
    std::optional<refusal> reauthorise(const entry_request& request) const;

private:
    bool is_upstream_call(const entry_request& request) const;
    static std::optional<refusal> join_parent(entry_request& request);

    const entry_settings& m_settings;
    const entry_parts& m_parts;
};

} // namespace mulberry::detail
