#include "libs/store/keyvaluestore.h"

namespace mulberry {

std::string_view to_string(store_error error)
{
    switch (error) {
    case store_error::unavailable:
        return "unavailable";
    case store_error::unknown_outcome:
        return "unknown_outcome";
    case store_error::bad_answer:
        return "bad_answer";
    case store_error::too_large:
        return "too_large";
    case store_error::no_such_lease:
        return "no_such_lease";
    }
    return "invalid";
}

} // namespace mulberry
