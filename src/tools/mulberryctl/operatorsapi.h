#pragma once

#include "tools/httpcaller/httpcaller.h"
#include "tools/mulberryctl/commandreport.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Error of a call of the operators' API.
struct api_failure {
    exit_code code = exit_code::unreachable;
    std::string message;
    /// JSON body of the daemon's response; null if there is none that can be parsed.
    nlohmann::json details;
};

/// Content of a document and its revision in the store.
struct stored_document {
    std::int64_t revision = 0;
    std::string content;
};

/// Result of a conditional write.
struct write_outcome {
    bool accepted = false;
    std::int64_t revision = 0;
    /// After a conflict: the document in force, unset if it does not exist.
    std::optional<stored_document> current;
};

/// Client for the operators' HTTP API of a daemon. Errors are of type api_failure.
///
///   GET  /v1/documents/<name>       200 {"revision": 12, "content": "..."}; 404 if there is none
///   PUT  /v1/documents/<name>       body: the text; If-Match: "12", or "0" for a new document
///                                   200 {"revision": 13}; 409 {"revision": 12, "content": "..."}, or 409 {} if there
///                                   is no document; 422 {"message": "...", "errors": [...]}
///   GET  /v1/confirmations?revision=13   200 {"missing": ["node or domain", ...]}
///   GET  /v1/status, GET /v1/explain/<id>, POST /v1/drain   200 or 202 with an object
///
/// Error responses have {"message": "..."}. A 5xx response to a PUT with "written": false had no effect; after any
/// other 5xx response the write may be in force.
class operators_api {
public:
    /// The wait function sleeps between the reads that determine the outcome of a write.
    operators_api(http_transport& transport, std::string credential, std::function<void(duration)> wait);

    /// Reads a document; the result is unset if it does not exist.
    leaf::result<std::optional<stored_document>> read(std::string_view name);

    /// Replaces the document if it has the expected revision. If the response does not tell whether the write took
    /// effect, reads the document until that is known; the daemon serves reads from its own view, which may lag behind
    /// the store. Fails with exit_code::unreachable if the outcome remains unknown.
    leaf::result<write_outcome> write(std::string_view name, std::string_view content, std::int64_t expected_revision);

    /// Returns the names of the nodes and failure domains that have not confirmed the revision.
    leaf::result<std::vector<std::string>> missing_confirmations(std::int64_t revision);

    leaf::result<nlohmann::json> status();
    leaf::result<nlohmann::json> drain();
    leaf::result<nlohmann::json> explain(std::string_view request_id);

private:
    /// A response with its body parsed as JSON; the body is null if it is not a JSON object.
    struct json_response {
        int status = 0;
        nlohmann::json body;
    };

    http_headers headers() const;
    /// Sends a request without a body. Any status is a result.
    leaf::result<json_response> send(std::string_view method, std::string_view path);
    /// Sends a request without a body and returns the JSON object of a 200 or 202 response.
    leaf::result<nlohmann::json> fetch(std::string_view method, std::string_view path);
    /// Reads the document until it shows whether the write took effect. The reason is part of the message if that
    /// remains unknown.
    leaf::result<write_outcome> resolve_unknown_outcome(std::string_view name, std::string_view content,
                                                        std::int64_t expected_revision, const std::string& reason);

    http_transport& m_transport;
    std::string m_credential;
    std::function<void(duration)> m_wait;
};

} // namespace mulberry
