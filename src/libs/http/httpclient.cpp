#include "libs/http/httpclient.h"

namespace mulberry {

std::string_view to_string(http_error error)
{
    switch (error) {
    case http_error::not_sent:
        return "not_sent";
    case http_error::connection_lost:
        return "connection_lost";
    case http_error::timed_out:
        return "timed_out";
    case http_error::truncated:
        return "truncated";
    case http_error::too_large:
        return "too_large";
    }
    return "invalid";
}

} // namespace mulberry
