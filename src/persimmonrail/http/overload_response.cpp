#include "persimmonrail/http/overload_response.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/base/instance_id.h"

#include <Poco/Exception.h>

#include <absl/strings/str_cat.h>

#include <string>

namespace persimmonrail {
namespace {

std::string overloadResponse()
{
    const std::string id = absl::StrCat(absl::Hex(generateIncarnation(), absl::kZeroPad16),
                                        absl::Hex(generateIncarnation(), absl::kZeroPad16));
    const std::string body = absl::StrCat(
        R"({"outcome":"not-run","reason":"too-many-connections","request_id":")", id, R"("})");
    return absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n", outcomeHeader,
                        ": not-run\r\n", reasonHeader, ": too-many-connections\r\n",
                        requestIdHeader, ": ", id,
                        "\r\nRetry-After: 1\r\nContent-Type: application/json\r\n"
                        "Content-Length: ",
                        body.size(), "\r\n\r\n", body);
}

} // namespace

void sendOverloadResponse(const Poco::Net::StreamSocket &socket)
{
    try {
        Poco::Net::StreamSocket copy(socket);
        copy.setBlocking(false);
        const std::string response = overloadResponse();
        copy.sendBytes(response.data(), static_cast<int>(response.size()));
        copy.shutdownSend();
    } catch (const Poco::Exception &) {
        // The client has disconnected already.
    }
}

} // namespace persimmonrail
