#pragma once

#include "libs/base/asyncerror.h"
#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/configuration/configrelay.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// Why the write of an operator failed.
enum class write_error : std::uint8_t {
    not_a_watcher,     // nothing written; send the request to one of config_relay::watchers
    bad_key,           // nothing written; the key does not start with "documents/"
    invalid,           // nothing written; the validator rejected the content
    too_large,         // nothing written; the document exceeds the store's limit
    store_unavailable, // nothing written
    unknown_outcome,   // the write may have taken effect; read the document to find out
};

std::string_view to_string(write_error error);

/// Validates a document before it is written.
class document_validator {
public:
    document_validator() = default;
    document_validator(const document_validator&) = delete;
    document_validator& operator=(const document_validator&) = delete;
    virtual ~document_validator() = default;

    /// Empty if the document is valid, otherwise the error message for the operator.
    virtual std::optional<std::string> problem(std::string_view key, std::string_view content) const = 0;
};

/// A compare-and-swap write. Without content, it deletes the document. An expected revision of 0 means that the
/// document must not exist.
struct write_request {
    std::string key;
    std::optional<std::string> content;
    std::int64_t expected_revision = 0;
};

/// The result of a write. `revision` is that of an accepted write. After a conflict, `current` has the document that is
/// in the store, or is empty if there is none.
struct write_result {
    bool accepted = false;
    std::int64_t revision = 0;
    std::optional<config_document> current;
};

/// An error with a message for the operator.
struct write_failure {
    write_error error = write_error::unknown_outcome;
    std::string explanation;
};

using write_callback = std::function<void(leaf::result<write_result>)>;

/// Writes the documents of operators to the store. This node must be a watcher. Errors are reported as write_failure.
class config_writer {
public:
    config_writer(timer_service& timers, random_source& random, key_value_store& store, config_relay& relay,
                  const document_validator& validator);
    ~config_writer();

    /// Starts an asynchronous write. The callback is called once, unless the writer is destroyed first.
    void write(write_request request, write_callback done);

    /// Reads a document from the store. The callback receives an empty optional if there is none.
    void read(std::string_view key, std::function<void(leaf::result<std::optional<config_document>>)> done);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

namespace detail {

/// Formats the value that is stored for a document: a TOML comment line with the writer tag, then the content.
std::string with_writer_tag(std::string_view tag, std::string_view content);
/// Splits a stored value into writer tag and content. The tag is empty for a value that was not written by
/// config_writer.
std::pair<std::string_view, std::string_view> split_writer_tag(std::string_view value);

} // namespace detail

} // namespace mulberry
