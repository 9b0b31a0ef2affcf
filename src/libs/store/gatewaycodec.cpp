#include "libs/store/gatewaycodec.h"

#include "libs/json/jsonfields.h"

#include <charconv>

#include <sodium.h>

namespace mulberry::gateway {

namespace {

using nlohmann::json;

/// The key that the gateway takes as no bound, at the begin as well as at the end of a range.
const std::string unbounded_key(1, '\0');

std::string encode_number(std::int64_t number)
{
    return std::to_string(number);
}

/// A member that is a 64-bit number, as a text or as a JSON integer; 0 if it is missing.
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

/// A member in base64, decoded; an empty text if it is missing.
std::optional<std::string> bytes_of(const json& object, const char* name)
{
    const auto member = object.find(name);
    if (member == object.end())
        return std::string();
    if (!member->is_string())
        return std::nullopt;
    return from_base64(member->get_ref<const std::string&>());
}

/// A member that is true or false; false if it is missing.
std::optional<bool> optional_flag_of(const json& object, const char* name)
{
    const auto member = object.find(name);
    if (member == object.end())
        return false;
    if (!member->is_boolean())
        return std::nullopt;
    return member->get<bool>();
}

/// A member that is an array; an empty array if it is missing, null if it has another type.
const json* optional_list_of(const json& object, const char* name)
{
    static const json empty = json::array();
    const auto member = object.find(name);
    if (member == object.end())
        return &empty;
    return member->is_array() ? &*member : nullptr;
}

std::optional<json> parse_object(std::string_view text)
{
    json parsed = parse_json(text);
    if (!parsed.is_object())
        return std::nullopt;
    return parsed;
}

/// The store's revision at the time of the response. Revisions start at 1.
std::optional<std::int64_t> header_revision(const json& root)
{
    const json* header = object_of(root, "header");
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

/// The entries of a range. Empty unless they are in the order of their keys and complete, and none is newer than the
/// revision of the response.
std::optional<range_result> range_of(const json& root, std::int64_t revision)
{
    range_result result;
    result.revision = revision;
    const json* entries = optional_list_of(root, "kvs");
    if (entries == nullptr || optional_flag_of(root, "more") != false)
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

/// A transaction that runs `success` if the key has the expected revision, and otherwise reads the key.
std::string encode_transaction_request(std::string_view key, std::int64_t expected_mod_revision, const json& success)
{
    const std::string encoded_key = to_base64(key);
    const json compare{{"key", encoded_key},
                       {"target", "MOD"},
                       {"result", "EQUAL"},
                       {"mod_revision", encode_number(expected_mod_revision)}};
    const json read_current{{"request_range", {{"key", encoded_key}}}};
    return json{{"compare", json::array({compare})},
                {"success", json::array({success})},
                {"failure", json::array({read_current})}}
        .dump();
}

/// The result of a transaction whose condition failed, with the current entry. Empty if the response is for another key
/// or shows a revision that fulfils the condition.
std::optional<put_result> conflict_of(const json& response, std::int64_t revision, std::string_view key,
                                      std::int64_t expected_mod_revision)
{
    const json* range = object_of(response, "response_range");
    if (range == nullptr)
        return std::nullopt;
    auto current_range = range_of(*range, revision);
    if (!current_range || current_range->entries.size() > 1)
        return std::nullopt;
    put_result result{false, revision, std::nullopt};
    if (!current_range->entries.empty())
        result.current = std::move(current_range->entries.front());
    const std::int64_t current_revision = result.current ? result.current->mod_revision : 0;
    const bool same_key = !result.current || result.current->key == key;
    if (!same_key || current_revision == expected_mod_revision)
        return std::nullopt;
    return result;
}

/// The member "result" of a message in a stream.
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
    const bool is_put = type == object.end() || *type == "PUT";
    if (!entry || (!is_put && *type != "DELETE"))
        return std::nullopt;
    if (!is_put)
        entry->value.clear();
    return watch_event{std::move(*entry), !is_put};
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
        return unbounded_key;
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
    return end;
}

std::string prefix_begin(std::string_view prefix)
{
    return prefix.empty() ? unbounded_key : std::string(prefix);
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
    const json put{{"key", to_base64(key)}, {"value", to_base64(value)}, {"lease", encode_number(lease)}};
    return encode_transaction_request(key, expected_mod_revision, {{"request_put", put}});
}

std::string delete_request(std::string_view key, std::int64_t expected_mod_revision)
{
    return encode_transaction_request(key, expected_mod_revision,
                                      {{"request_delete_range", {{"key", to_base64(key)}}}});
}

std::string grant_request(std::int64_t ttl_seconds)
{
    return json{{"TTL", encode_number(ttl_seconds)}}.dump();
}

std::string keep_alive_request(lease_id lease)
{
    return json{{"ID", encode_number(lease)}}.dump();
}

std::string watch_request(std::string_view key, std::string_view range_end, std::int64_t start_revision)
{
    return json{{"create_request",
                 {{"key", to_base64(key)},
                  {"range_end", to_base64(range_end)},
                  {"start_revision", encode_number(start_revision)}}}}
        .dump();
}

std::optional<range_result> decode_range_response(std::string_view body)
{
    const auto root = parse_object(body);
    const auto revision = root ? header_revision(*root) : std::nullopt;
    if (!revision)
        return std::nullopt;
    return range_of(*root, *revision);
}

std::optional<put_result> decode_txn_response(std::string_view body, std::string_view key,
                                              std::int64_t expected_mod_revision)
{
    const auto root = parse_object(body);
    const auto revision = root ? header_revision(*root) : std::nullopt;
    if (!revision)
        return std::nullopt;
    const auto succeeded = optional_flag_of(*root, "succeeded");
    const json* responses = optional_list_of(*root, "responses");
    if (!succeeded || responses == nullptr || responses->size() != 1 || !responses->front().is_object())
        return std::nullopt;
    const json& response = responses->front();
    if (!*succeeded)
        return conflict_of(response, *revision, key, expected_mod_revision);
    const bool has_write_result = response.contains("response_put") || response.contains("response_delete_range");
    // A write gives the store a revision above all earlier ones.
    if (!has_write_result || *revision <= expected_mod_revision)
        return std::nullopt;
    return put_result{true, *revision, std::nullopt};
}

std::optional<granted_lease> decode_grant_response(std::string_view body)
{
    const auto root = parse_object(body);
    if (!root)
        return std::nullopt;
    const auto id = number_of(*root, "ID");
    const auto ttl = number_of(*root, "TTL");
    if (!id || *id <= 0 || !ttl || *ttl <= 0)
        return std::nullopt;
    return granted_lease{*id, *ttl};
}

std::optional<std::int64_t> decode_keep_alive_response(std::string_view body)
{
    const auto result = parse_streamed(body);
    if (!result || !result->contains("ID"))
        return std::nullopt;
    const auto ttl = number_of(*result, "TTL");
    return ttl && *ttl >= 0 ? ttl : std::nullopt;
}

std::optional<watch_message> decode_watch_message(std::string_view line)
{
    const auto result = parse_streamed(line);
    if (!result)
        return std::nullopt;
    const auto canceled = optional_flag_of(*result, "canceled");
    const json* events = optional_list_of(*result, "events");
    if (!canceled || events == nullptr)
        return std::nullopt;
    watch_message message;
    message.watch_ended = *canceled;
    for (const json& object : *events) {
        auto event = event_of(object);
        if (!event)
            return std::nullopt;
        message.events.push_back(std::move(*event));
    }
    return message;
}

std::optional<gateway_error> decode_error(std::string_view body)
{
    const auto root = parse_object(body);
    if (!root || !root->contains("error"))
        return std::nullopt;
    const json* streamed = object_of(*root, "error");
    const json& object = streamed == nullptr ? *root : *streamed;
    const auto code = number_of(object, streamed == nullptr ? "code" : "grpc_code");
    const auto message = object.find("message");
    if (!code || *code == 0 || message == object.end() || !message->is_string())
        return std::nullopt;
    return gateway_error{*code, message->get<std::string>()};
}

} // namespace mulberry::gateway
