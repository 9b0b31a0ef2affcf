#include "libs/base/controllink.h"

namespace mulberry {

std::string_view to_string(control_channel channel)
{
    switch (channel) {
    case control_channel::membership:
        return "membership";
    case control_channel::configuration:
        return "configuration";
    case control_channel::shares:
        return "shares";
    case control_channel::account:
        return "account";
    case control_channel::quota:
        return "quota";
    case control_channel::quarantine:
        return "quarantine";
    }
    return "invalid";
}

} // namespace mulberry
