#include "libs/peer/peererror.h"

namespace mulberry {

std::string_view to_string(peer_error error)
{
    switch (error) {
    case peer_error::not_sent:
        return "not_sent";
    case peer_error::refused:
        return "refused";
    case peer_error::connection_lost:
        return "connection_lost";
    case peer_error::rejected:
        return "rejected";
    case peer_error::too_large:
        return "too_large";
    case peer_error::answer_too_large:
        return "answer_too_large";
    case peer_error::bad_answer:
        return "bad_answer";
    case peer_error::listen_failed:
        return "listen_failed";
    }
    return "invalid";
}

bool is_certainly_unprocessed(peer_error error)
{
    return error == peer_error::not_sent || error == peer_error::refused || error == peer_error::rejected ||
           error == peer_error::too_large;
}

} // namespace mulberry
