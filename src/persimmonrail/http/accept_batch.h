#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>

namespace persimmonrail {

// Accepts connections that wait at a listener, at most `maxCount` of them, and passes each to
// `onConnection`. Returns whether more may be waiting. Throws Poco::Exception if a connection can't
// be accepted.
bool acceptBatch(Poco::Net::ServerSocket &listener, int maxCount,
                 const std::function<void(const Poco::Net::StreamSocket &socket)> &onConnection);

} // namespace persimmonrail
