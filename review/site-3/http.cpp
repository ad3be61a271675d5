#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace review {
namespace {

int remainingMs(time_point until)
{
    if (until == time_point::max()) {
        return -1;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    return static_cast<int>(std::max<int64_t>(left, 0));
}

sockaddr_in parseAddress(const std::string &address)
{
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    const size_t colon = address.find(':');
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    parsed.sin_port = htons(static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1)));
    return parsed;
}

// Ports below those that the system gives to outgoing connections, from a place of this process on,
// so that scripts that run at the same time don't take each other's.
constexpr int firstPort = 20000;
constexpr int portCount = 11000;

int listenOnFreePort(std::string &address)
{
    static std::atomic<int> next{static_cast<int>(::getpid()) * 97};
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    for (int tries = 0; tries < portCount; ++tries) {
        address = "127.0.0.1:" + std::to_string(firstPort + next++ % portCount);
        const sockaddr_in bound = parseAddress(address);
        if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) == 0) {
            break;
        }
    }
    ::listen(descriptor, 256);
    return descriptor;
}

std::string trim(const std::string &text)
{
    const size_t first = text.find_first_not_of(" \t\r");
    const size_t last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

} // namespace

std::string message::get(const std::string &name) const
{
    for (const auto &[known, value] : fields) {
        if (::strcasecmp(known.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return "";
}

std::string message::word(int position) const
{
    std::istringstream words(firstLine);
    std::string word;
    for (int i = 0; i <= position; ++i) {
        word.clear();
        words >> word;
    }
    return word;
}

std::string render(const message &text)
{
    std::string bytes = text.firstLine + "\r\n";
    for (const auto &[name, value] : text.fields) {
        bytes += name + ": " + value + "\r\n";
    }
    return bytes + "\r\n" + text.body;
}

bool closesConnection(const message &text)
{
    return ::strcasecmp(text.get("Connection").c_str(), "close") == 0;
}

message makeRequest(const std::string &method, const std::string &target, const std::string &host,
                    std::vector<std::pair<std::string, std::string>> fields,
                    const std::string &body)
{
    message request{method + " " + target + " HTTP/1.1", {{"Host", host}}, body};
    request.fields.insert(request.fields.end(), fields.begin(), fields.end());
    if (!body.empty() || method == "POST" || method == "PUT") {
        request.fields.emplace_back("Content-Length", std::to_string(body.size()));
    }
    return request;
}

message makeResponse(int status, std::vector<std::pair<std::string, std::string>> fields,
                     const std::string &body)
{
    message response{"HTTP/1.1 " + std::to_string(status) + " S", std::move(fields), body};
    response.fields.emplace_back("Content-Length", std::to_string(body.size()));
    return response;
}

connection::connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    ::close(m_descriptor);
}

bool connection::fill(time_point until)
{
    pollfd entry{m_descriptor, POLLIN, 0};
    if (::poll(&entry, 1, remainingMs(until)) <= 0) {
        m_hasTimedOut = true;
        return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<size_t>(count));
    return true;
}

bool connection::read(message &result, time_point until)
{
    m_hasTimedOut = false;
    size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            return false;
        }
    }
    result = {};
    std::istringstream head(m_buffer.substr(0, end + 2));
    m_buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
        line = trim(line);
        const size_t colon = line.find(':');
        if (result.firstLine.empty()) {
            result.firstLine = line;
        } else if (colon != std::string::npos) {
            result.fields.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
        }
    }
    const auto take = [&](size_t size) {
        while (m_buffer.size() < size) {
            if (!fill(until)) {
                return false;
            }
        }
        result.body.append(m_buffer, 0, size);
        m_buffer.erase(0, size);
        return true;
    };
    const auto takeLine = [&](std::string &text) {
        size_t ending = 0;
        while ((ending = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        text = m_buffer.substr(0, ending);
        m_buffer.erase(0, ending + 2);
        return true;
    };
    ++m_readCount;
    if (::strcasecmp(result.get("Transfer-Encoding").c_str(), "chunked") != 0) {
        return take(std::strtoul(result.get("Content-Length").c_str(), nullptr, 10));
    }
    for (;;) {
        if (!takeLine(line)) {
            return false;
        }
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (!take(size) || !takeLine(line)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
}

bool connection::write(const std::string &bytes)
{
    size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count =
            ::send(m_descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        written += static_cast<size_t>(count);
    }
    return true;
}

void connection::shutdown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::unique_ptr<connection> connectTo(const std::string &address)
{
    const sockaddr_in target = parseAddress(address);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

message exchange(const std::string &address, const message &request, milliseconds timeout)
{
    const time_point until = clock::now() + timeout;
    const auto opened = connectTo(address);
    message response;
    if (opened == nullptr || !opened->write(render(request)) || !opened->read(response, until)) {
        return {};
    }
    return response;
}

server::server(handler onRequest)
    : m_onRequest(std::move(onRequest))
    , m_listener(listenOnFreePort(m_address))
    , m_acceptor([this] { accept(); })
{ }

server::~server()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &open : m_connections) {
            open->shutdown();
        }
    }
    while (m_threads > 0) {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

void server::accept()
{
    while (!m_isStopping) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        auto opened = std::make_shared<connection>(descriptor);
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(opened);
        }
        ++m_threads;
        std::thread([this, opened] {
            serve(opened);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.erase(opened);
            }
            --m_threads;
        }).detach();
    }
}

void server::serve(std::shared_ptr<connection> from)
{
    message request;
    while (!m_isStopping && from->read(request) && m_onRequest(*from, request)) { }
    from->shutdown();
}

std::string freeAddress()
{
    std::string address;
    ::close(listenOnFreePort(address));
    return address;
}

} // namespace review
