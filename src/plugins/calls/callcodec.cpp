#include "plugins/calls/callcodec.h"

#include "libs/base/asyncerror.h"
#include "libs/http/httpfields.h"
#include "plugins/calls/messages.pb.h"

#include <algorithm>
#include <array>
#include <climits>
#include <cmath>
#include <optional>

#include <google/protobuf/io/coded_stream.h>

namespace mulberry {

namespace {

constexpr std::int64_t max_interval_us = 86'400'000'000; // one day; no node sends larger values
constexpr std::uint32_t max_retries = 100;
constexpr std::uint32_t max_depth = 100;
constexpr int min_status = 100;
constexpr int max_status = 599;

// Encoding of Protobuf fields.
using coded_output = google::protobuf::io::CodedOutputStream;
constexpr unsigned wire_type_bits = 3;
constexpr std::uint32_t variable_integer = 0;
constexpr std::uint32_t fixed_64_bits = 1;
constexpr std::uint32_t length_delimited = 2;
constexpr std::uint32_t fixed_32_bits = 5;
constexpr std::size_t max_varint_bytes = 5;

template <typename Fields>
void write_headers(const header_list& headers, Fields* fields)
{
    for (const auto& [name, value] : headers) {
        auto* field = fields->Add();
        field->set_name(name);
        field->set_value(value);
    }
}

template <typename Fields>
header_list read_headers(Fields* fields)
{
    header_list headers;
    headers.reserve(static_cast<std::size_t>(fields->size()));
    for (auto& field : *fields)
        headers.emplace_back(std::move(*field.mutable_name()), std::move(*field.mutable_value()));
    return headers;
}

bool is_interval(std::int64_t microseconds)
{
    return microseconds >= 0 && microseconds <= max_interval_us;
}

bool is_share(float value)
{
    return value >= 0 && value <= 1;
}

bool has_line_break(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos;
}

bool are_valid_headers(const header_list& headers)
{
    return std::ranges::none_of(headers, [](const auto& header) {
        return !detail::is_token(header.first) || !detail::is_field_value(header.second);
    });
}

bool is_valid(const calls::proto::upstream_notice& message)
{
    return std::isfinite(message.rate_limit()) && message.rate_limit() >= 0;
}

bool is_valid(const calls::proto::call_request& message)
{
    return !message.sender_name().empty() && message.sequence() > 0 && message.level() < all_importances.size() &&
           is_interval(message.remaining_us()) && message.retries() <= max_retries && message.depth() > 0 &&
           message.depth() <= max_depth && is_share(message.repeat_share()) && message.path().starts_with('/') &&
           !has_line_break(message.path()) && !message.method().empty() && !has_line_break(message.method()) &&
           is_valid(message.notice());
}

bool is_valid_downstream(const calls::proto::downstream_load& message)
{
    return !message.service().empty() && is_share(message.refused_share());
}

bool is_valid(const calls::proto::call_answer& message)
{
    const bool has_reason = message.reason() > 0;
    const bool is_known_result = message.result() <= static_cast<std::uint32_t>(outcome::unknown);
    const bool is_known_reason = message.reason() <= static_cast<std::uint32_t>(refusal_reason::count);
    const bool has_status = message.status() >= min_status && message.status() <= max_status;
    const auto& load = message.load();
    return is_known_result && is_known_reason && (has_reason || has_status) && is_interval(message.retry_after_us()) &&
           is_interval(message.queue_wait_us()) && is_interval(message.service_time_us()) &&
           is_interval(load.queue_delay_us()) && load.threshold() < all_importances.size() &&
           is_share(load.admitted_share()) && load.utilisation() >= 0 && message.unused_retries() <= max_retries &&
           static_cast<std::size_t>(message.downstream_size()) <= max_downstream_loads &&
           std::ranges::all_of(message.downstream(), is_valid_downstream) && is_valid(message.notice());
}

void write_load(const load_report& load, calls::proto::load_report* message)
{
    message->set_utilisation(load.utilisation);
    message->set_queue_delay_us(load.queue_delay.count());
    message->set_threshold(static_cast<std::uint32_t>(load.threshold));
    message->set_admitted_share(load.admitted_share);
    message->set_concurrency_limit(load.concurrency_limit);
}

load_report read_load(const calls::proto::load_report& message)
{
    load_report load;
    load.utilisation = message.utilisation();
    load.queue_delay = duration{message.queue_delay_us()};
    load.threshold = static_cast<importance>(message.threshold());
    load.admitted_share = message.admitted_share();
    load.concurrency_limit = message.concurrency_limit();
    return load;
}

void write_notice(const upstream_notice& notice, calls::proto::upstream_notice* message)
{
    if (notice.rate_limit)
        message->set_rate_limit(*notice.rate_limit);
    message->set_leaving(notice.leaving);
    message->set_instance(notice.instance);
    message->set_instance_started_ms(notice.instance_started_ms);
}

upstream_notice read_notice(const calls::proto::upstream_notice& message)
{
    upstream_notice notice;
    if (message.has_rate_limit())
        notice.rate_limit = message.rate_limit();
    notice.leaving = message.leaving();
    notice.instance = message.instance();
    notice.instance_started_ms = message.instance_started_ms();
    return notice;
}

bool parse(google::protobuf::MessageLite& message, std::string_view bytes)
{
    return bytes.size() <= INT_MAX && message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

constexpr std::uint32_t tag_of_bytes_field(int field)
{
    return static_cast<std::uint32_t>(field) << wire_type_bits | length_delimited;
}

/// Encodes a message whose field `body_field`, which it does not contain yet, comes last.
message_parts encode_with_body(const google::protobuf::MessageLite& message, int body_field, const message_body& body)
{
    std::string head = message.SerializeAsString();
    if (body.empty())
        return head;
    std::array<std::uint8_t, 2 * max_varint_bytes> prefix{};
    std::uint8_t* end = coded_output::WriteVarint32ToArray(tag_of_bytes_field(body_field), prefix.data());
    end = coded_output::WriteVarint32ToArray(static_cast<std::uint32_t>(body.size()), end);
    head.append(prefix.data(), end);
    return {std::move(head), body};
}

/// Parts of an encoded message whose last field is its body.
struct split_message {
    std::string_view head;
    std::size_t body_offset = 0;
};

/// Finds the body if it is the last field, as encode_with_body() writes it.
std::optional<split_message> split_body(std::string_view bytes, int body_field)
{
    if (bytes.size() > INT_MAX)
        return std::nullopt;
    google::protobuf::io::CodedInputStream input(
        static_cast<const std::uint8_t*>(static_cast<const void*>(bytes.data())), static_cast<int>(bytes.size()));
    while (true) {
        const auto begin = static_cast<std::size_t>(input.CurrentPosition());
        const std::uint32_t tag = input.ReadTag();
        const std::uint32_t type = tag & ((1U << wire_type_bits) - 1);
        std::uint64_t number = 0;
        if (tag == 0)
            return std::nullopt;
        if (type == fixed_32_bits || type == fixed_64_bits) {
            if (!input.Skip(type == fixed_32_bits ? sizeof(std::uint32_t) : sizeof(std::uint64_t)))
                return std::nullopt;
            continue;
        }
        if (type != length_delimited && type != variable_integer)
            return std::nullopt;
        if (!input.ReadVarint64(&number) || (type == length_delimited && number > bytes.size()))
            return std::nullopt;
        const auto position = static_cast<std::size_t>(input.CurrentPosition());
        if (tag == tag_of_bytes_field(body_field) && position + number == bytes.size())
            return split_message{bytes.substr(0, begin), position};
        if (type == length_delimited && !input.Skip(static_cast<int>(number)))
            return std::nullopt;
    }
}

/// Parses a message but for its body. A body that is not the last field is copied.
template <typename Message>
std::optional<message_body> parse_with_body(Message& message, const message_body& bytes)
{
    const auto split = split_body(bytes, Message::kBodyFieldNumber);
    if (!parse(message, split ? split->head : bytes.view()))
        return std::nullopt;
    return split ? bytes.suffix(split->body_offset) : message_body(std::move(*message.mutable_body()));
}

} // namespace

std::string_view to_string(call_error error)
{
    switch (error) {
    case call_error::not_sent:
        return "not_sent";
    case call_error::connection_lost:
        return "connection_lost";
    case call_error::malformed:
        return "malformed";
    }
    return "invalid";
}

message_parts encode(const call_request& request)
{
    calls::proto::call_request message;
    message.set_sender_name(request.attempt.sender.name);
    message.set_sender_incarnation(request.attempt.sender.incarnation);
    message.set_sequence(request.attempt.sequence);
    message.set_request_id(request.request_id);
    message.set_receiver_name(request.receiver);
    message.set_organisation(request.organisation);
    message.set_calling_service(request.calling_service);
    message.set_service(request.service);
    message.set_route(request.route);
    message.set_level(static_cast<std::uint32_t>(request.level));
    message.set_remaining_us(request.remaining.count());
    message.set_retries(request.retries);
    message.set_repeat_share(request.repeat_share);
    message.set_idempotent(request.idempotent);
    message.set_idempotency_key(request.idempotency_key);
    message.set_revision(request.revision);
    message.set_depth(request.depth);
    message.set_method(request.method);
    message.set_path(request.path);
    write_headers(request.headers, message.mutable_headers());
    message.set_fingerprint(request.fingerprint);
    if (request.notice != upstream_notice{})
        write_notice(request.notice, message.mutable_notice());
    return encode_with_body(message, calls::proto::call_request::kBodyFieldNumber, request.body);
}

message_parts encode(const call_response& response)
{
    calls::proto::call_answer message;
    message.set_receiver_name(response.receiver);
    message.set_sequence(response.sequence);
    message.set_result(static_cast<std::uint32_t>(response.result));
    if (response.reason)
        message.set_reason(static_cast<std::uint32_t>(*response.reason) + 1);
    message.set_retry_after_us(response.retry_after.count());
    message.set_status(response.status);
    write_headers(response.headers, message.mutable_headers());
    message.set_unused_retries(response.unused_retries);
    message.set_retries_exhausted(response.retries_exhausted);
    message.set_failed_below(response.failed_below);
    message.set_replayed(response.replayed);
    write_load(response.load, message.mutable_load());
    message.set_queue_wait_us(response.queue_wait.count());
    message.set_service_time_us(response.service_time.count());
    for (const downstream_load& load : response.downstream) {
        auto* entry = message.add_downstream();
        entry->set_service(load.service);
        entry->set_refused_share(load.refused_share);
    }
    if (response.notice != upstream_notice{})
        write_notice(response.notice, message.mutable_notice());
    return encode_with_body(message, calls::proto::call_answer::kBodyFieldNumber, response.body);
}

leaf::result<call_request> decode_call_request(const message_body& bytes)
{
    calls::proto::call_request message;
    auto body = parse_with_body(message, bytes);
    if (!body || !is_valid(message))
        return captured_error<call_request>(call_error::malformed);
    call_request request;
    request.attempt = {{message.sender_name(), message.sender_incarnation()}, message.sequence()};
    request.request_id = message.request_id();
    request.receiver = message.receiver_name();
    request.organisation = message.organisation();
    request.calling_service = message.calling_service();
    request.service = message.service();
    request.route = message.route();
    request.level = static_cast<importance>(message.level());
    request.remaining = duration{message.remaining_us()};
    request.retries = message.retries();
    request.repeat_share = message.repeat_share();
    request.idempotent = message.idempotent();
    request.idempotency_key = message.idempotency_key();
    request.revision = message.revision();
    request.depth = message.depth();
    request.method = message.method();
    request.path = message.path();
    request.headers = read_headers(message.mutable_headers());
    request.body = std::move(*body);
    request.notice = read_notice(message.notice());
    request.fingerprint = message.fingerprint();
    if (!are_valid_headers(request.headers))
        return captured_error<call_request>(call_error::malformed);
    return request;
}

leaf::result<call_response> decode_call_response(const message_body& bytes)
{
    calls::proto::call_answer message;
    auto body = parse_with_body(message, bytes);
    if (!body || !is_valid(message))
        return captured_error<call_response>(call_error::malformed);
    call_response response;
    response.receiver = message.receiver_name();
    response.sequence = message.sequence();
    response.result = static_cast<outcome>(message.result());
    if (message.reason() > 0)
        response.reason = static_cast<refusal_reason>(message.reason() - 1);
    response.retry_after = duration{message.retry_after_us()};
    response.status = message.status();
    response.headers = read_headers(message.mutable_headers());
    response.body = std::move(*body);
    response.unused_retries = message.unused_retries();
    response.retries_exhausted = message.retries_exhausted();
    response.failed_below = message.failed_below();
    response.replayed = message.replayed();
    response.load = read_load(message.load());
    response.queue_wait = duration{message.queue_wait_us()};
    response.service_time = duration{message.service_time_us()};
    for (const auto& entry : message.downstream())
        response.downstream.push_back({entry.service(), entry.refused_share()});
    response.notice = read_notice(message.notice());
    if (!are_valid_headers(response.headers))
        return captured_error<call_response>(call_error::malformed);
    return response;
}

} // namespace mulberry
