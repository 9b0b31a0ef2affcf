#pragma once

#include "plugins/shares/messages.pb.h"

#include <string>
#include <string_view>

namespace mulberry::shares {

/// Returns the section of a failure domain in the pool document; adds it if it is missing.
messages::pool_domain& find_or_add_domain(messages::pool_document& document, const std::string& name);

/// Returns the entry of an organisation, or null if there is none or if the domain is null.
const messages::pool_entry* find_entry(const messages::pool_domain* domain, std::string_view organisation);

/// Returns the entry of an organisation; adds it if it is missing.
messages::pool_entry& find_or_add_entry(messages::pool_domain& domain, const std::string& organisation);

} // namespace mulberry::shares
