#include "plugins/quarantine/crashreport.h"

#include "plugins/quarantine/messages.pb.h"

#include <climits>

namespace mulberry {

namespace {

std::vector<request_fingerprint> read_fingerprints(const google::protobuf::RepeatedField<std::uint64_t>& field)
{
    return {field.begin(), field.end()};
}

} // namespace

std::string encode(const quarantine_message& message)
{
    quarantine::proto::quarantine_message out;
    for (const crash_report& report : message.reports) {
        auto* added = out.add_reports();
        added->set_crash_id(report.id);
        added->set_age_s(static_cast<std::uint32_t>(report.age.count()));
        added->set_isolated_suspect(report.isolated_suspect);
        added->mutable_suspects()->Add(report.suspects.begin(), report.suspects.end());
        added->mutable_cleared()->Add(report.cleared.begin(), report.cleared.end());
    }
    out.set_digest(message.digest);
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_report_count(static_cast<std::uint32_t>(message.reports.size()) + 1);
    return out.SerializeAsString();
}

std::optional<quarantine_message> decode_quarantine_message(std::string_view payload)
{
    quarantine::proto::quarantine_message in;
    if (payload.size() > INT_MAX || !in.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return std::nullopt;
    if (in.report_count() != static_cast<std::uint32_t>(in.reports_size()) + 1)
        return std::nullopt;
    if (in.kind() < static_cast<std::uint32_t>(quarantine_message_kind::gossip) ||
        in.kind() > static_cast<std::uint32_t>(quarantine_message_kind::sync_response))
        return std::nullopt;
    if (static_cast<std::size_t>(in.reports_size()) > max_message_fingerprints)
        return std::nullopt;
    quarantine_message message;
    message.kind = static_cast<quarantine_message_kind>(in.kind());
    message.digest = in.digest();
    std::size_t fingerprints = 0;
    for (const auto& each : in.reports()) {
        crash_report report;
        report.id = each.crash_id();
        report.age = std::chrono::seconds(each.age_s());
        report.isolated_suspect = each.isolated_suspect();
        report.suspects = read_fingerprints(each.suspects());
        report.cleared = read_fingerprints(each.cleared());
        fingerprints += report.suspects.size() + report.cleared.size();
        message.reports.push_back(std::move(report));
    }
    if (fingerprints > max_message_fingerprints)
        return std::nullopt;
    return message;
}

} // namespace mulberry
