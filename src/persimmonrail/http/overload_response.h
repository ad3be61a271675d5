#pragma once

#include <Poco/Net/StreamSocket.h>

namespace persimmonrail {

// Responds with status 503 and the reason "too-many-connections" to a connection that the server
// does not serve, and shuts down its sending direction. Reads no request. Does not block; the
// client may receive only a part of the response.
void sendOverloadResponse(const Poco::Net::StreamSocket &socket);

} // namespace persimmonrail
