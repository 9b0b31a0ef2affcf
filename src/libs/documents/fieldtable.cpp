#include "libs/documents/fieldtable.h"

namespace mulberry::detail {

std::string reference_table(std::span<const field_info> fields)
{
    std::string text = "| name | unit | default | meaning |\n|---|---|---|---|\n";
    for (const field_info& info : fields) {
        std::string fallback = info.default_text.empty() ? "none" : fmt::format("`{}`", info.default_text);
        if (info.required)
            fallback = "required";
        text += fmt::format("| `{}` | {} | {} | {} |\n", info.key, info.unit, fallback, info.meaning);
    }
    return text;
}

} // namespace mulberry::detail
