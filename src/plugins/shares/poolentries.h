#pragma once

#include "plugins/shares/messages.pb.h"

#include <string>
#include <string_view>

namespace mulberry::shares {

/// The part of a failure domain in the pool document, added if it is missing.
messages::pool_domain& domain_in(messages::pool_document& document, const std::string& name);

/// The entry of an organisation, or null; null also for a null domain.
const messages::pool_entry* entry_in(const messages::pool_domain* domain, std::string_view organisation);

/// The entry of an organisation, added if it is missing.
messages::pool_entry& entry_in(messages::pool_domain& domain, const std::string& organisation);

} // namespace mulberry::shares
