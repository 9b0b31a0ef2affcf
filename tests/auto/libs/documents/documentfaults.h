#pragma once

#include "libs/base/asyncerror.h"
#include "libs/documents/documenterrors.h"

#include <cstdint>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

/// A text with a fault and where the fault must be reported; an empty text of the message accepts any message.
struct fault_case {
    std::string text;
    std::uint32_t line = 0;
    std::string key;
    std::string message_part;
};

template <typename Document>
std::vector<document_error> faults_of(leaf::result<Document> result)
{
    return error_of(std::move(result), document_errors{}).errors;
}

/// Checks that exactly the expected fault is reported.
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
