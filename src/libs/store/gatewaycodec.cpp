#include "libs/store/gatewaycodec.h"

#include <charconv>

#include <nlohmann/json.hpp>
#include <sodium.h>

namespace mulberry::gateway {

namespace {

using nlohmann::json;

/// Replaces an end or a begin of a range without bound.
const std::string zero_byte(1, '\0');

std::string number_text(std::int64_t number)
{
    return std::to_string(number);
}

/// A 64-bit number as text or as JSON integer; a missing member is 0.
std::optional<std::int64_t> number_of(const json& object, const char* name)
{
    const auto member = object.find(name);
    if (member == object.end())
        return 0;
    if (member->is_number_integer())
        return member->get<std::int64_t>();
    if (!member->is_string())
        return std::nullopt;
    const auto& text = member->get_ref<const std::string&>();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Decoded base64; a missing member is empty.
std::optional<std::string> bytes_of(const json& object, const char* name)
{
    const auto member = object.find(name);
    if (member == object.end())
        return std::string();
    if (!member->is_string())
        return std::nullopt;
    return from_base64(member->get_ref<const std::string&>());
}

std::optional<bool> flag_of(const json& object, const char* name)
{
    const auto member = object.find(name);
    if (member == object.end())
        return false;
    if (!member->is_boolean())
        return std::nullopt;
    return member->get<bool>();
}

/// Null if the member is missing or is not an object.
const json* object_of(const json& object, const char* name)
{
    const auto member = object.find(name);
    return member != object.end() && member->is_object() ? &*member : nullptr;
}

/// Null if the member is not a list; an empty list if it is missing.
const json* list_of(const json& object, const char* name)
{
    static const json empty = json::array();
    const auto member = object.find(name);
    if (member == object.end())
        return &empty;
    return member->is_array() ? &*member : nullptr;
}

std::optional<json> parse_object(std::string_view text)
{
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    return parsed;
}

/// The store's revision, which starts at 1.
std::optional<std::int64_t> header_revision(const json& answer)
{
    const json* header = object_of(answer, "header");
    if (header == nullptr)
        return std::nullopt;
    const auto revision = number_of(*header, "revision");
    return revision && *revision >= 1 ? revision : std::nullopt;
}

std::optional<store_entry> entry_of(const json& object)
{
    if (!object.is_object())
        return std::nullopt;
    auto key = bytes_of(object, "key");
    auto value = bytes_of(object, "value");
    const auto revision = number_of(object, "mod_revision");
    if (!key || key->empty() || !value || !revision || *revision < 1)
        return std::nullopt;
    return store_entry{std::move(*key), std::move(*value), *revision};
}

std::optional<range_result> range_of(const json& answer, std::int64_t revision)
{
    range_result result;
    result.revision = revision;
    const json* entries = list_of(answer, "kvs");
    if (entries == nullptr || flag_of(answer, "more") != false)
        return std::nullopt;
    for (const json& object : *entries) {
        auto entry = entry_of(object);
        const bool in_order = result.entries.empty() || (entry && result.entries.back().key < entry->key);
        if (!entry || !in_order || entry->mod_revision > revision)
            return std::nullopt;
        result.entries.push_back(std::move(*entry));
    }
    return result;
}

std::string txn(std::string_view key, std::int64_t expected_mod_revision, const json& success)
{
    const std::string encoded = to_base64(key);
    const json compare{
        {"key", encoded}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", number_text(expected_mod_revision)}};
    const json read_back{{"request_range", {{"key", encoded}}}};
    return json{
        {"compare", json::array({compare})}, {"success", json::array({success})}, {"failure", json::array({read_back})}}
        .dump();
}

/// The entry in force after a condition that did not hold.
std::optional<put_result> conflict_of(const json& response, std::int64_t revision, std::string_view key,
                                      std::int64_t expected_mod_revision)
{
    const json* range = object_of(response, "response_range");
    if (range == nullptr)
        return std::nullopt;
    auto found = range_of(*range, revision);
    if (!found || found->entries.size() > 1)
        return std::nullopt;
    put_result result{false, revision, std::nullopt};
    if (!found->entries.empty())
        result.current = std::move(found->entries.front());
    const std::int64_t present = result.current ? result.current->mod_revision : 0;
    const bool same_key = !result.current || result.current->key == key;
    if (!same_key || present == expected_mod_revision)
        return std::nullopt;
    return result;
}

/// The member "result" of a streamed message.
std::optional<json> parse_streamed(std::string_view text)
{
    const auto message = parse_object(text);
    const json* result = message ? object_of(*message, "result") : nullptr;
    if (result == nullptr)
        return std::nullopt;
    return *result;
}

std::optional<watch_event> event_of(const json& object)
{
    const json* entry_object = object.is_object() ? object_of(object, "kv") : nullptr;
    if (entry_object == nullptr)
        return std::nullopt;
    auto entry = entry_of(*entry_object);
    const auto type = object.find("type");
    const bool put = type == object.end() || *type == "PUT";
    if (!entry || (!put && *type != "DELETE"))
        return std::nullopt;
    if (!put)
        entry->value.clear();
    return watch_event{std::move(*entry), !put};
}

} // namespace

std::string to_base64(std::string_view bytes)
{
    std::string text(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.pop_back(); // terminating zero of sodium_bin2base64
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    std::size_t length = 0;
    const char* end = nullptr;
    const int status = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                                         text.size(), nullptr, &length, &end, sodium_base64_VARIANT_ORIGINAL);
    if (status != 0 || end != text.data() + text.size())
        return std::nullopt;
    bytes.resize(length);
    return bytes;
}

std::string prefix_end(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff)
        end.pop_back();
    if (end.empty())
        return zero_byte;
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
    return end;
}

std::string prefix_begin(std::string_view prefix)
{
    return prefix.empty() ? zero_byte : std::string(prefix);
}

std::string range_request(std::string_view key, std::string_view range_end)
{
    json request{{"key", to_base64(key)}};
    if (!range_end.empty())
        request["range_end"] = to_base64(range_end);
    return request.dump();
}

std::string put_request(std::string_view key, std::int64_t expected_mod_revision, std::string_view value,
                        lease_id lease)
{
    const json put{{"key", to_base64(key)}, {"value", to_base64(value)}, {"lease", number_text(lease)}};
    return txn(key, expected_mod_revision, {{"request_put", put}});
}

std::string delete_request(std::string_view key, std::int64_t expected_mod_revision)
{
    return txn(key, expected_mod_revision, {{"request_delete_range", {{"key", to_base64(key)}}}});
}

std::string grant_request(std::int64_t ttl_seconds)
{
    return json{{"TTL", number_text(ttl_seconds)}}.dump();
}

std::string keep_alive_request(lease_id lease)
{
    return json{{"ID", number_text(lease)}}.dump();
}

std::string watch_request(std::string_view key, std::string_view range_end, std::int64_t start_revision)
{
    return json{{"create_request",
                 {{"key", to_base64(key)},
                  {"range_end", to_base64(range_end)},
                  {"start_revision", number_text(start_revision)}}}}
        .dump();
}

std::optional<range_result> read_range(std::string_view body)
{
    const auto answer = parse_object(body);
    const auto revision = answer ? header_revision(*answer) : std::nullopt;
    if (!revision)
        return std::nullopt;
    return range_of(*answer, *revision);
}

std::optional<put_result> read_txn(std::string_view body, std::string_view key, std::int64_t expected_mod_revision)
{
    const auto answer = parse_object(body);
    const auto revision = answer ? header_revision(*answer) : std::nullopt;
    if (!revision)
        return std::nullopt;
    const auto succeeded = flag_of(*answer, "succeeded");
    const json* responses = list_of(*answer, "responses");
    if (!succeeded || responses == nullptr || responses->size() != 1 || !responses->front().is_object())
        return std::nullopt;
    const json& response = responses->front();
    if (!*succeeded)
        return conflict_of(response, *revision, key, expected_mod_revision);
    const bool changed = response.contains("response_put") || response.contains("response_delete_range");
    // A write raises the store's revision above that of everything before it.
    if (!changed || *revision <= expected_mod_revision)
        return std::nullopt;
    return put_result{true, *revision, std::nullopt};
}

std::optional<granted_lease> read_grant(std::string_view body)
{
    const auto answer = parse_object(body);
    if (!answer)
        return std::nullopt;
    const auto id = number_of(*answer, "ID");
    const auto ttl = number_of(*answer, "TTL");
    if (!id || *id <= 0 || !ttl || *ttl <= 0)
        return std::nullopt;
    return granted_lease{*id, *ttl};
}

std::optional<std::int64_t> read_keep_alive(std::string_view body)
{
    const auto result = parse_streamed(body);
    if (!result || !result->contains("ID"))
        return std::nullopt;
    const auto ttl = number_of(*result, "TTL");
    return ttl && *ttl >= 0 ? ttl : std::nullopt;
}

std::optional<watch_message> read_watch_message(std::string_view line)
{
    const auto result = parse_streamed(line);
    if (!result)
        return std::nullopt;
    const auto canceled = flag_of(*result, "canceled");
    const json* events = list_of(*result, "events");
    if (!canceled || events == nullptr)
        return std::nullopt;
    watch_message message;
    message.ended = *canceled;
    for (const json& object : *events) {
        auto event = event_of(object);
        if (!event)
            return std::nullopt;
        message.events.push_back(std::move(*event));
    }
    return message;
}

std::optional<gateway_error> read_error(std::string_view body)
{
    const auto answer = parse_object(body);
    if (!answer || !answer->contains("error"))
        return std::nullopt;
    const json* streamed = object_of(*answer, "error");
    const json& object = streamed == nullptr ? *answer : *streamed;
    const auto code = number_of(object, streamed == nullptr ? "code" : "grpc_code");
    const auto message = object.find("message");
    if (!code || *code == 0 || message == object.end() || !message->is_string())
        return std::nullopt;
    return gateway_error{*code, message->get<std::string>()};
}

} // namespace mulberry::gateway
