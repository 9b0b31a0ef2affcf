#include "libs/documents/documenterrors.h"

#include <fmt/format.h>

namespace mulberry {

std::string to_string(const document_error& error)
{
    std::string text = error.file;
    if (error.line != 0)
        text += fmt::format(":{}", error.line);
    if (!text.empty())
        text += ": ";
    if (!error.key.empty())
        text += error.key + ": ";
    return text + error.message;
}

std::string to_string(const document_errors& errors)
{
    std::string text;
    for (const document_error& error : errors.errors)
        text += to_string(error) + "\n";
    return text;
}

} // namespace mulberry
