#include "http_fixture.h"

namespace persimmonrail {

steady_time timeAfter(milliseconds delay)
{
    return std::chrono::steady_clock::now() + delay;
}

client_request requestTo(const std::string &address)
{
    client_request request;
    request.address = address;
    request.message.setURI("/x");
    request.deadline = timeAfter(testTimeout);
    return request;
}

} // namespace persimmonrail
