#pragma once

#include "libs/memory/messagebody.h"

#include <string>
#include <utility>

namespace mulberry {

/// A message to another node in two parts that are sent one after the other, so that a body is not copied into it.
struct message_parts {
    message_parts() = default;
    message_parts(std::string bytes) : head(std::move(bytes)) {}  // NOLINT: most messages have one part
    message_parts(const char* text) : head(text) {}               // NOLINT: most messages have one part
    message_parts(message_body bytes) : body(std::move(bytes)) {} // NOLINT: most messages have one part
    message_parts(std::string first, message_body rest) : head(std::move(first)), body(std::move(rest)) {}

    std::size_t size() const { return head.size() + body.size(); }
    bool empty() const { return size() == 0; }
    std::string joined() const { return head + std::string(body); }

    std::string head;
    message_body body;
};

} // namespace mulberry
