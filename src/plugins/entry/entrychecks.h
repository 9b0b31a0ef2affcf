#pragma once

#include "libs/base/refusal.h"
#include "plugins/entry/entrydependencies.h"
#include "plugins/entry/entryrequest.h"

#include <optional>

namespace mulberry::detail {

/// Determines the route of a request and whether its caller is authorised to send it. Each check returns a refusal if
/// the request fails it, and otherwise stores its results in the request.
class entry_checks {
public:
    /// The settings and the dependencies must outlive this object.
    entry_checks(const entry_settings& settings, const entry_dependencies& dependencies);

    /// Matches the route, checks the body size, and sets the deadline and the limits on attempts.
    std::optional<refusal> match(entry_request& request) const;
    /// Determines the organisation and the importance of the request.
    std::optional<refusal> authenticate(entry_request& request) const;
    std::optional<refusal> check_idempotency_key(entry_request& request) const;
    /// Checks before each attempt that the key has not been withdrawn since the request was authenticated.
    std::optional<refusal> reauthorise(const entry_request& request) const;

private:
    bool is_upstream_call(const entry_request& request) const;
    static std::optional<refusal> inherit_from_parent(entry_request& request);

    const entry_settings& m_settings;
    const entry_dependencies& m_dependencies;
};

} // namespace mulberry::detail
