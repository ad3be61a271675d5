#include "persimmonrail/proxy/peer_probe.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

// Time for which check() waits for a response. A daemon that isn't overloaded responds within a few
// milliseconds.
constexpr milliseconds responseWait{100};
// A probe without a response is replaced after this time, since its connection may have failed.
constexpr milliseconds replacementTime{2000};
constexpr int notFound = 404;

} // namespace

peer_probe::peer_probe(connection_pool &pool, std::string address, const std::string &requestId)
    : m_pool(pool)
    , m_address(std::move(address))
    , m_request(absl::StrCat("GET ", proxyInFlightPath, requestId, " HTTP/1.1\r\nHost: ", m_address,
                             "\r\nConnection: close\r\n\r\n"))
{ }

probe_result peer_probe::check(steady_time now)
{
    const bool isOverdue = m_stream != nullptr && now - m_sentAt >= replacementTime;
    if (m_stream == nullptr || (isOverdue && !m_stream->hasInput())) {
        if (!open(now)) {
            return probe_result::HostUnreachable;
        }
    }
    return readResult(std::chrono::steady_clock::now() + responseWait);
}

bool peer_probe::open(steady_time now)
{
    m_stream.reset();
    auto connection = m_pool.connect(m_address, steady_time::max());
    if (!connection.ok()) {
        return false;
    }
    m_stream = std::move(connection->stream);
    m_sentAt = now;
    size_t written = 0;
    m_stream->write(m_request, written, std::chrono::steady_clock::now() + responseWait);
    return true;
}

probe_result peer_probe::readResult(steady_time until)
{
    std::string text;
    const io_status status = m_stream->readHead(text, until);
    if (status == io_status::TimedOut) {
        return probe_result::NoResponse;
    }
    m_stream.reset();
    Poco::Net::HTTPResponse head;
    if (status != io_status::Ok || parseResponse(text, head) != io_status::Ok) {
        return probe_result::NoResponse;
    }
    return head.getStatus() == notFound ? probe_result::RequestLost : probe_result::InFlight;
}

} // namespace persimmonrail
