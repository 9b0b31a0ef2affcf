#pragma once

#include "app/node/node.h"

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace mulberry {

/// Text of a JSON value; bytes that are not UTF-8 are replaced.
std::string dump(const nlohmann::json& value);

/// What GET /v1/status shows.
nlohmann::json status_json(node& owner);
nlohmann::json explanation_json(std::string_view request_id, const explanation& account);
nlohmann::json document_json(const config_document& document);

/// An operator's write on its way to a watcher.
std::string encode_write(const write_request& write);
std::optional<write_request> decode_write(std::string_view text);

/// The answer to a write with its HTTP status: accepted, conflict, or refused with the reason.
struct write_answer {
    int status = 0;
    nlohmann::json body;
};

write_answer answer_of(leaf::result<write_result> result);
std::string encode_answer(const write_answer& answer);
std::optional<write_answer> decode_answer(std::string_view text);

} // namespace mulberry
