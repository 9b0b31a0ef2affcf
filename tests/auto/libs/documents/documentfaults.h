#pragma once

#include "libs/base/asyncerror.h"
#include "libs/documents/documenterrors.h"

#include <cstdint>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

/// A document with one error, and the line, key and part of the message with which the error must be reported. An empty
/// message part accepts every message.
struct fault_case {
    std::string text;
    std::uint32_t line = 0;
    std::string key;
    std::string message_part;
};

/// Returns the errors of a parse result; none if the parsing succeeded.
template <typename Document>
std::vector<document_error> faults_of(leaf::result<Document> result)
{
    return error_of(std::move(result), document_errors{}).errors;
}

/// Checks that exactly the expected error is reported.
inline void check_fault(const std::vector<document_error>& errors, const fault_case& expected)
{
    BOOST_TEST_CONTEXT("text:\n" << expected.text << "\nreported:\n" << to_string(document_errors{errors}))
    {
        BOOST_REQUIRE(errors.size() == 1U);
        BOOST_TEST(errors.front().file == "test.toml");
        BOOST_TEST(errors.front().line == expected.line);
        BOOST_TEST(errors.front().key == expected.key);
        BOOST_TEST(errors.front().message.find(expected.message_part) != std::string::npos);
    }
}

} // namespace mulberry
