#include "plugins/quarantine/completioncache.h"

namespace mulberry::detail {

void completion_cache::add(request_fingerprint fingerprint, time_point now)
{
    (*m_entries)[fingerprint % size] = {fingerprint, now};
}

bool completion_cache::contains(request_fingerprint fingerprint, time_point now) const
{
    const entry& found = (*m_entries)[fingerprint % size];
    return found.fingerprint == fingerprint && now - found.completed_at <= retention;
}

} // namespace mulberry::detail
