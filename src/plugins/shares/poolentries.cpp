#include "plugins/shares/poolentries.h"

#include <algorithm>

namespace mulberry::shares {

messages::pool_domain& find_or_add_domain(messages::pool_document& document, const std::string& name)
{
    for (messages::pool_domain& entry : *document.mutable_domains()) {
        if (entry.name() == name)
            return entry;
    }
    messages::pool_domain& added = *document.add_domains();
    added.set_name(name);
    return added;
}

const messages::pool_entry* find_entry(const messages::pool_domain* domain, std::string_view organisation)
{
    if (domain == nullptr)
        return nullptr;
    const auto found = std::ranges::find(domain->entries(), organisation, &messages::pool_entry::organisation);
    return found == domain->entries().end() ? nullptr : &*found;
}

messages::pool_entry& find_or_add_entry(messages::pool_domain& domain, const std::string& organisation)
{
    for (messages::pool_entry& entry : *domain.mutable_entries()) {
        if (entry.organisation() == organisation)
            return entry;
    }
    messages::pool_entry& added = *domain.add_entries();
    added.set_organisation(organisation);
    return added;
}

} // namespace mulberry::shares
