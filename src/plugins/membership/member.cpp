#include "plugins/membership/member.h"

namespace mulberry {

std::string_view to_string(member_state state)
{
    switch (state) {
    case member_state::starting:
        return "starting";
    case member_state::serving:
        return "serving";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "invalid";
}

} // namespace mulberry
