#pragma once

#include "app/node/node.h"

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace mulberry {

/// Serialises a JSON value. Bytes that are not valid UTF-8 are replaced.
std::string dump(const nlohmann::json& value);

/// Returns the body of the response to GET /v1/status.
nlohmann::json status_json(node& owner);
/// Returns the body of the response to GET /v1/explain/: the decision records of a request, the ranges of lost records,
/// and the nodes that did not respond.
nlohmann::json explanation_json(std::string_view request_id, const explanation& account);
/// Returns the body of the response to GET /v1/documents/.
nlohmann::json document_json(const config_document& document);

/// Encode and decode an operator's write that is forwarded to a watcher. Decoding returns nullopt if the text is not
/// valid.
std::string encode_write_request(const write_request& write);
std::optional<write_request> decode_write_request(std::string_view text);

/// HTTP status and body of the response to a write: accepted, conflict, or refused with the reason.
struct write_response {
    int status = 0;
    nlohmann::json body;
};

/// Converts the result of a write to the response for the operator.
write_response make_write_response(leaf::result<write_result> result);
/// Encode and decode the response of a watcher to a forwarded write. Decoding returns nullopt if the text is not valid.
std::string encode_write_response(const write_response& response);
std::optional<write_response> decode_write_response(std::string_view text);

} // namespace mulberry
