#pragma once

#include "libs/peer/peerstream.h"
#include "libs/peer/tlsidentity.h"

namespace mulberry {

/// Connections over mutual TLS 1.3, in which each side's certificate names its node.
std::shared_ptr<peer_security> make_tls_security(tls_identity identity);

} // namespace mulberry
