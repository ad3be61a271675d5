#include "persimmonrail/http/accept_batch.h"

namespace persimmonrail {

bool acceptBatch(Poco::Net::ServerSocket &listener, int maxCount,
                 const std::function<void(const Poco::Net::StreamSocket &socket)> &onConnection)
{
    for (int i = 0; i < maxCount; ++i) {
        if (!listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        onConnection(listener.acceptConnection());
    }
    return true;
}

} // namespace persimmonrail
