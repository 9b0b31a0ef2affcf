#pragma once

#include "app/callerport/callerport.h"
#include "app/node/node.h"

#include <memory>

namespace mulberry {

/// The port for callers: their requests go to the entry once the node is ready.
std::unique_ptr<caller_port> make_caller_frontend(node& owner);

/// The port for nested calls of the upstream: they go to the entry with the running call that their token names.
std::unique_ptr<caller_port> make_nested_frontend(node& owner);

} // namespace mulberry
