#include "standins/raw_client.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Reads the body of a response. Returns false if it is incomplete.
bool readBody(http_stream &stream, const body_framing &framing, std::string &body,
              steady_time deadline)
{
    body_reader reader(stream, framing);
    std::string piece;
    while (!reader.isComplete()) {
        if (reader.read(piece, deadline) != io_status::Ok) {
            return false;
        }
        body += piece;
    }
    return true;
}

} // namespace

raw_response exchangeRaw(const std::string &address, const std::string &bytes, milliseconds timeout)
{
    const steady_time deadline = std::chrono::steady_clock::now() + timeout;
    raw_response response;
    http_stream stream{Poco::Net::StreamSocket(Poco::Net::SocketAddress(address))};
    size_t written = 0;
    // The server may respond and close the connection before all bytes are sent.
    stream.write(bytes, written, deadline);
    const std::string method = bytes.substr(0, bytes.find(' '));
    do {
        std::string text;
        body_framing framing;
        if (stream.readHead(text, deadline) != io_status::Ok
            || parseResponse(text, response.head) != io_status::Ok
            || responseFraming(response.head, method, framing) != io_status::Ok
            || !readBody(stream, framing, response.body, deadline)) {
            return {};
        }
    } while (response.head.getStatus() < 200);
    response.status = response.head.getStatus();
    return response;
}

} // namespace persimmonrail
