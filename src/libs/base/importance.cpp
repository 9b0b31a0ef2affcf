#include "libs/base/importance.h"

namespace mulberry {

std::string_view to_string(importance level)
{
    switch (level) {
    case importance::background:
        return "background";
    case importance::normal:
        return "normal";
    case importance::high:
        return "high";
    case importance::critical:
        return "critical";
    }
    return "invalid";
}

std::optional<importance> importance_from_string(std::string_view name)
{
    for (const importance level : all_importances) {
        if (to_string(level) == name)
            return level;
    }
    return std::nullopt;
}

} // namespace mulberry
