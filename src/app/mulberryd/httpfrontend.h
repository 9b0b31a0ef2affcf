#pragma once

#include "app/callerport/callerport.h"
#include "app/node/node.h"

#include <memory>

namespace mulberry {

/// Creates the port for callers. Requests are passed to the entry service once the node is ready and refused before.
std::unique_ptr<caller_port> make_caller_frontend(node& owner);

/// Creates the port for nested calls of the upstream. Requests are passed to the entry service together with the
/// running call that their context token identifies.
std::unique_ptr<caller_port> make_nested_frontend(node& owner);

} // namespace mulberry
