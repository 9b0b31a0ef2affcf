#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mulberry {

/// One error in a document. Lines are numbered from 1; 0 means that the error belongs to no line, as for a missing key
/// or a command line argument. The key is a dotted path with list indexes in brackets, such as "routes[2].deadline".
struct document_error {
    std::string file;
    std::uint32_t line = 0;
    std::string key;
    std::string message;

    bool operator==(const document_error&) const = default;
};

/// All errors found in one document, ordered by line. This is the error object of the parse functions; obtain it with
/// error_of(std::move(result), document_errors{}).
struct document_errors {
    std::vector<document_error> errors;
};

/// Returns "file:line: key: message" without the parts that are empty.
std::string to_string(const document_error& error);

/// Returns one line for each error.
std::string to_string(const document_errors& errors);

} // namespace mulberry
