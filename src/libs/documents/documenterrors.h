#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mulberry {

/// One fault in a document. The line counts from 1; 0 means that the fault belongs to no line, such as a missing key or
/// an argument of the command line. The key is dotted, with the position in a list in brackets: "routes[2].deadline".
struct document_error {
    std::string file;
    std::uint32_t line = 0;
    std::string key;
    std::string message;

    bool operator==(const document_error&) const = default;
};

/// Every fault found in one document, in order of lines. Error object of the parse functions; read it with
/// error_of(std::move(result), document_errors{}).
struct document_errors {
    std::vector<document_error> errors;
};

/// "file:line: key: message"; parts that are empty are left out.
std::string to_string(const document_error& error);

/// One line for each fault.
std::string to_string(const document_errors& errors);

} // namespace mulberry
