#pragma once

#include "libs/peer/peerstream.h"
#include "libs/peer/tlsidentity.h"

namespace mulberry {

/// Returns the security for connections with mutual TLS 1.3, in which the certificate of each side contains its node
/// name.
std::shared_ptr<peer_security> make_tls_security(tls_identity identity);

} // namespace mulberry
