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

/// Why a call of the operators' API gave no result.
struct api_failure {
    exit_code code = exit_code::unreachable;
    std::string message;
    /// What the daemon said; null if nothing that could be read.
    nlohmann::json details;
};

/// A document with its store revision.
struct stored_document {
    std::int64_t revision = 0;
    std::string content;
};

/// Result of a conditional write. After a conflict there is the document in force, empty if it does not exist.
struct write_outcome {
    bool accepted = false;
    std::int64_t revision = 0;
    std::optional<stored_document> current;
};

/// Client of the operators' HTTP API of a daemon. Errors are of type api_failure.
///
///   GET  /v1/documents/<name>       200 {"revision": 12, "content": "..."}; 404 if there is none
///   PUT  /v1/documents/<name>       body: the text; If-Match: "12", or "0" for a new document
///                                   200 {"revision": 13}; 409 {"revision": 12, "content": "..."}, without these
///                                   members if there is no document; 422 {"message": "...", "errors": [...]}
///   GET  /v1/confirmations?revision=13   200 {"missing": ["node or domain", ...]}
///   GET  /v1/status, GET /v1/explain/<id>, POST /v1/drain   200 or 202 with an object
///
/// Failures have {"message": "..."}; with "written": false a 5xx of a PUT certainly had no effect.
class operators_api {
public:
    /// The wait function pauses between two reads that look for a write without a clear answer.
    operators_api(http_transport& transport, std::string credential, std::function<void(duration)> wait);

    leaf::result<std::optional<stored_document>> read(std::string_view name);

    /// Finds out by reads whether a write without a clear answer took effect; the daemon reads from its own view, which
    /// may lag behind the store. Fails with exit_code::unreachable if
    /// that remains unknown.
    leaf::result<write_outcome> write(std::string_view name, std::string_view content, std::int64_t expected_revision);

    /// Nodes or failure domains that have not confirmed the revision.
    leaf::result<std::vector<std::string>> unconfirmed(std::int64_t revision);

    leaf::result<nlohmann::json> status();
    leaf::result<nlohmann::json> drain();
    leaf::result<nlohmann::json> explain(std::string_view request_id);

private:
    /// An answer whose body has been read as JSON.
    struct json_answer {
        int status = 0;
        nlohmann::json body;
    };

    http_headers headers() const;
    leaf::result<json_answer> send(std::string_view method, std::string_view path);
    leaf::result<nlohmann::json> fetch(std::string_view method, std::string_view path);
    leaf::result<write_outcome> resolve(std::string_view name, std::string_view content, std::int64_t expected_revision,
                                        const std::string& reason);

    http_transport& m_transport;
    std::string m_credential;
    std::function<void(duration)> m_wait;
};

} // namespace mulberry
