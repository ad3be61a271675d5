#pragma once

#include <Poco/Net/ServerSocket.h>

namespace persimmonrail {

// Makes the kernel drop further connection attempts at a listening socket. Handshakes that have
// begun still complete, and their connections can be accepted. Closing a listener resets the
// connections in its backlog; once the handshakes are complete, no connection can be added to the
// backlog between the last accept and the close. Further attempts get no answer until the listener
// is closed. Returns false, and leaves the listener unchanged, if the system doesn't support it.
bool dropConnectionAttempts(Poco::Net::ServerSocket &listener);

} // namespace persimmonrail
