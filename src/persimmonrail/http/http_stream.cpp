#include "persimmonrail/http/http_stream.h"

#include <Poco/Exception.h>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace persimmonrail {
namespace {

// Bytes requested from the socket at once. Heads and most bodies fit. The size is small because
// each connection in use keeps a buffer of this size.
constexpr size_t defaultReadBytes = 4 * 1024;
// Replaces defaultReadBytes after a read that filled the buffer, to save system calls.
constexpr size_t largeReadBytes = 32 * 1024;

// Bytes that the system accepts for a connection beyond those in flight. Without a bound it takes
// megabytes for a slow reader, who then sees the end of the connection long after it was closed.
constexpr int maxUnsentBytes = 2 * maxBodyPieceBytes;

int pollTimeoutMs(steady_time until)
{
    const auto remaining =
        std::chrono::ceil<milliseconds>(until - std::chrono::steady_clock::now());
    // Longer waits are split: the callers repeat the wait until `until`.
    return static_cast<int>(std::clamp<int64_t>(remaining.count(), 0, 60'000));
}

} // namespace

std::string_view toString(io_status status)
{
    switch (status) {
    case io_status::Ok:
        return "ok";
    case io_status::Closed:
        return "closed";
    case io_status::TimedOut:
        return "timed-out";
    case io_status::Malformed:
        return "malformed";
    case io_status::TooLarge:
        return "too-large";
    case io_status::Cancelled:
        return "cancelled";
    }
    return "closed";
}

http_stream::http_stream(const Poco::Net::StreamSocket &socket)
    : m_socket(socket)
    , m_descriptor(socket.impl()->sockfd())
{
    try {
        m_socket.setBlocking(false);
        m_socket.setNoDelay(true);
        m_socket.setOption(IPPROTO_TCP, TCP_NOTSENT_LOWAT, maxUnsentBytes);
    } catch (const Poco::Exception &) {
        // The connection was reset meanwhile, which the first read or write reports, or the system
        // has no such bound.
    }
}

http_stream::http_stream(const http_stream &other, int cancelDescriptor)
    : m_socket(other.m_socket)
    , m_descriptor(other.m_descriptor)
    , m_cancelDescriptor(cancelDescriptor)
{ }

http_stream::~http_stream() = default;

void http_stream::watchForClose(http_stream *other)
{
    m_watched = other;
}

io_status http_stream::wait(short events, steady_time until)
{
    // Only the close of the watched connection is polled, because bytes that its peer sends early
    // would end each wait at once. poll() ignores negative descriptors.
    const int watched = m_watched != nullptr ? m_watched->m_descriptor : -1;
    const int watchedCancel = m_watched != nullptr ? m_watched->m_cancelDescriptor : -1;
    for (;;) {
        std::array<pollfd, 4> descriptors{{{m_descriptor, events, 0},
                                           {watched, POLLRDHUP, 0},
                                           {watchedCancel, POLLIN, 0},
                                           {m_cancelDescriptor, POLLIN, 0}}};
        const int ready = ::poll(descriptors.data(), descriptors.size(), pollTimeoutMs(until));
        if (ready < 0 && errno != EINTR) {
            return io_status::Closed;
        }
        if (ready > 0
            && std::any_of(descriptors.begin() + 1, descriptors.end(),
                           [](const pollfd &each) { return each.revents != 0; })) {
            return io_status::Cancelled;
        }
        if (ready > 0 && descriptors[0].revents != 0) {
            return io_status::Ok;
        }
        if (std::chrono::steady_clock::now() >= until) {
            return io_status::TimedOut;
        }
    }
}

io_status http_stream::fillBuffer(steady_time until)
{
    // The bytes of a peer that sends without end are always there, so a check in wait() alone would
    // never end the operations on this buffer.
    const bool isLate = std::chrono::steady_clock::now() >= until;
    if (isLate && m_lateBytes >= maxLateBytes) {
        return io_status::TimedOut;
    }
    m_buffer.erase(0, m_position);
    m_position = 0;
    const size_t before = m_buffer.size();
    const size_t step = m_wasLastReadFull ? largeReadBytes : defaultReadBytes;
    m_buffer.resize(before + step);
    for (;;) {
        const ssize_t n = ::recv(m_descriptor, m_buffer.data() + before, step, MSG_DONTWAIT);
        if (n > 0) {
            m_lateBytes = isLate ? m_lateBytes + static_cast<size_t>(n) : 0;
            m_wasLastReadFull = static_cast<size_t>(n) == step;
            m_buffer.resize(before + static_cast<size_t>(n));
            return io_status::Ok;
        }
        m_wasClosedGracefully = n == 0;
        io_status status = io_status::Closed;
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            status = wait(POLLIN, until);
        }
        if (status != io_status::Ok) {
            m_buffer.resize(before);
            return status;
        }
    }
}

void http_stream::releaseBuffer()
{
    if (m_position == m_buffer.size()) {
        std::string().swap(m_buffer);
        m_position = 0;
        m_wasLastReadFull = false;
    }
}

io_status http_stream::readHead(std::string &head, steady_time until)
{
    size_t searchedBytes = 0;
    size_t skippedBytes = 0;
    for (;;) {
        // Empty lines before a head are skipped (RFC 9112, section 2.2).
        while (m_position < m_buffer.size()
               && (m_buffer[m_position] == '\r' || m_buffer[m_position] == '\n')) {
            ++m_position;
            ++skippedBytes;
        }
        if (skippedBytes > maxHeadBytes) {
            return io_status::TooLarge;
        }
        const std::string_view text = std::string_view(m_buffer).substr(m_position);
        const size_t from = searchedBytes < 3 ? 0 : searchedBytes - 3;
        size_t end = std::string_view::npos;
        size_t endLength = 0;
        for (const std::string_view terminator : {"\r\n\r\n", "\n\n"}) {
            const size_t found = text.find(terminator, from);
            if (found < end) {
                end = found;
                endLength = terminator.size();
            }
        }
        if (end != std::string_view::npos && end + endLength <= maxHeadBytes) {
            head.assign(text.substr(0, end + endLength));
            m_position += head.size();
            return io_status::Ok;
        }
        if (text.size() > maxHeadBytes) {
            return io_status::TooLarge;
        }
        searchedBytes = text.size();
        if (const io_status status = fillBuffer(until); status != io_status::Ok) {
            return status;
        }
    }
}

io_status http_stream::readSome(char *buffer, size_t capacity, size_t &count, steady_time until)
{
    count = 0;
    if (m_position == m_buffer.size()) {
        if (const io_status status = fillBuffer(until); status != io_status::Ok) {
            return status;
        }
    }
    count = std::min(capacity, m_buffer.size() - m_position);
    std::copy_n(m_buffer.data() + m_position, count, buffer);
    m_position += count;
    return io_status::Ok;
}

io_status http_stream::readLine(std::string &line, size_t maxBytes, steady_time until)
{
    for (;;) {
        const size_t end = m_buffer.find('\n', m_position);
        if (end != std::string::npos && end - m_position <= maxBytes) {
            line.assign(m_buffer, m_position, end - m_position);
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            m_position = end + 1;
            return io_status::Ok;
        }
        if (m_buffer.size() - m_position > maxBytes) {
            return io_status::Malformed;
        }
        if (const io_status status = fillBuffer(until); status != io_status::Ok) {
            return status;
        }
    }
}

io_status http_stream::write(std::string_view bytes, size_t &written, steady_time until,
                             bool stopOnInput)
{
    written = 0;
    while (written < bytes.size()) {
        if (stopOnInput && hasInput()) {
            return io_status::Ok;
        }
        if (std::chrono::steady_clock::now() >= until) {
            return io_status::TimedOut;
        }
        const ssize_t n = ::send(m_descriptor, bytes.data() + written, bytes.size() - written,
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n >= 0) {
            written += static_cast<size_t>(n);
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return io_status::Closed;
        }
        const short events = stopOnInput ? POLLOUT | POLLIN : POLLOUT;
        if (const io_status status = wait(events, until); status != io_status::Ok) {
            return status;
        }
    }
    return io_status::Ok;
}

bool http_stream::waitUntilClosed(steady_time until)
{
    return wait(POLLRDHUP, until) != io_status::TimedOut;
}

bool http_stream::hasInput()
{
    if (m_position < m_buffer.size()) {
        return true;
    }
    pollfd descriptor{m_descriptor, POLLIN, 0};
    return ::poll(&descriptor, 1, 0) > 0 && descriptor.revents != 0;
}

void http_stream::shutdown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

void http_stream::shutdownSending()
{
    ::shutdown(m_descriptor, SHUT_WR);
}

io_status http_stream::discardInput()
{
    std::string().swap(m_buffer);
    m_position = 0;
    std::array<char, defaultReadBytes> ignored{};
    const ssize_t n = ::recv(m_descriptor, ignored.data(), ignored.size(), MSG_DONTWAIT);
    const bool isOpen = n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
    return isOpen ? io_status::Ok : io_status::Closed;
}

} // namespace persimmonrail
