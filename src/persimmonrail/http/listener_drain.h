#pragma once

#include <Poco/Net/ServerSocket.h>

namespace persimmonrail {

// Lets the kernel drop further connection attempts at a listening socket, while handshakes that
// have begun still complete and the connections can be accepted. Closing a listener resets the
// connections in its backlog; after this call and a wait for the handshakes, none can be added
// between the last accept and the close. Clients see no answer to their attempts until the listener
// is closed. Returns false if the system doesn't support it; the listener is unchanged then.
bool dropConnectionAttempts(Poco::Net::ServerSocket &listener);

} // namespace persimmonrail
