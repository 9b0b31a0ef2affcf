#include "plugins/entry/entrychecks.h"

#include "plugins/calls/headerpolicy.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace mulberry::detail {

namespace {

constexpr std::string_view authorization_header = "Authorization";

std::optional<duration> parse_milliseconds(std::string_view text)
{
    constexpr std::int64_t max_ms = 86'400'000;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < 0 || value > max_ms)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

} // namespace

entry_checks::entry_checks(const entry_settings& settings, const entry_dependencies& dependencies)
    : m_settings(settings), m_dependencies(dependencies)
{
}

std::optional<refusal> entry_checks::match(entry_request& request) const
{
    auto found = m_dependencies.documents.match(request.input.method, request.input.path, request.input.host);
    if (const auto* refused = std::get_if<refusal>(&found))
        return *refused;
    auto& matched = std::get<matched_route>(found);
    request.service = std::move(matched.service);
    request.path = std::move(matched.path);
    request.rules = std::move(matched.rules);
    if (request.input.body.size() > matched.body_cap_bytes)
        return not_run_refusal(refusal_reason::body_too_large);
    request.level = request.rules.level;
    request.attempt_limit = std::max(matched.total_attempts, 1U);
    request.delivery_limit = matched.delivery_limit;
    request.allowance = attempt_allowance(request.attempt_limit - 1);
    request.deadline = request.received_at + request.rules.deadline;
    request.is_upstream_call = is_upstream_call(request);
    const std::string_view deadline_field = find_header(request.input.headers, m_settings.fields.deadline);
    if (deadline_field.empty())
        return std::nullopt;
    const auto limit = parse_milliseconds(deadline_field);
    if (!limit)
        return not_run_refusal(refusal_reason::malformed_request);
    request.deadline = std::min(request.deadline, request.received_at + *limit);
    return std::nullopt;
}

bool entry_checks::is_upstream_call(const entry_request& request) const
{
    return m_settings.open_requests_are_nested && request.parent == nullptr && request.rules.open &&
           find_header(request.input.headers, authorization_header).empty();
}

std::optional<refusal> entry_checks::authenticate(entry_request& request) const
{
    if (request.parent != nullptr)
        return inherit_from_parent(request);
    if (request.rules.open)
        return std::nullopt;
    const std::string_view field = find_header(request.input.headers, authorization_header);
    if (!field.starts_with(m_settings.fields.credential_prefix))
        return not_run_refusal(refusal_reason::key_missing);
    if (!m_dependencies.documents.keyed_requests_allowed())
        return not_run_refusal(refusal_reason::view_stale);
    request.key = field.substr(m_settings.fields.credential_prefix.size());
    const auto organisation = m_dependencies.documents.organisation_of(request.key);
    if (!organisation)
        return not_run_refusal(refusal_reason::key_unknown);
    if (!request.rules.allows_organisation(*organisation))
        return not_run_refusal(refusal_reason::organisation_not_allowed);
    request.organisation = *organisation;
    request.level = m_dependencies.documents.level_of(request.rules, request.organisation);
    return std::nullopt;
}

std::optional<refusal> entry_checks::inherit_from_parent(entry_request& request)
{
    const call_context& parent = *request.parent;
    request.organisation = parent.organisation;
    request.level = std::min(parent.level, request.rules.level);
    request.depth = parent.depth + 1;
    request.deadline = std::min(request.deadline, parent.deadline);
    if (!request.rules.allows_calling_service(parent.service))
        return not_run_refusal(refusal_reason::organisation_not_allowed);
    if (!request.rules.open && !request.rules.allows_organisation(request.organisation))
        return not_run_refusal(refusal_reason::organisation_not_allowed);
    request.parent_reservation =
        request.parent->allowance.reserve_attempts(request.parent->allowance.default_reservation());
    request.allowance = attempt_allowance(request.parent_reservation->attempts);
    request.attempt_limit = request.parent_reservation->attempts + 1;
    return std::nullopt;
}

std::optional<refusal> entry_checks::check_idempotency_key(entry_request& request) const
{
    const std::string_view text = find_header(request.input.headers, idempotency_key_header);
    if (request.rules.idempotent || text.empty())
        return std::nullopt;
    request.parsed_idempotency_key = parse_idempotency_key(text);
    if (!request.parsed_idempotency_key)
        return not_run_refusal(refusal_reason::idempotency_key_invalid);
    const member* owner = m_dependencies.members.find(request.parsed_idempotency_key->owner_node.name);
    // The key's owner has left or restarted; an earlier request with this key may have run there.
    if (owner == nullptr || owner->id != request.parsed_idempotency_key->owner_node)
        return refusal{refusal_reason::idempotency_home_lost, outcome::unknown, duration{0}};
    if (owner->service != request.service)
        return not_run_refusal(refusal_reason::idempotency_key_invalid);
    return std::nullopt;
}

std::optional<refusal> entry_checks::reauthorise(const entry_request& request) const
{
    if (request.parent != nullptr || request.rules.open)
        return std::nullopt;
    if (!m_dependencies.documents.keyed_requests_allowed())
        return not_run_refusal(refusal_reason::view_stale);
    if (!m_dependencies.documents.authorises(request.key, request.organisation))
        return not_run_refusal(refusal_reason::key_unknown);
    return std::nullopt;
}

} // namespace mulberry::detail
