#include "http_fixture.h"
#include "persimmonrail/http/http_server.h"
#include "standins/scripted_server.h"

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <limits>
#include <mutex>
#include <random>
#include <set>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

std::string get(const std::string &path, const std::string &fields = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

std::string post(const std::string &path, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

// Returns the bodies of the complete responses in `text`, and the start of each incomplete one.
std::vector<std::string> bodiesOf(const std::string &text)
{
    std::vector<std::string> bodies;
    size_t from = 0;
    while (from < text.size()) {
        const size_t length = text.find("Content-Length: ", from);
        const size_t end = text.find("\r\n\r\n", from);
        if (length == std::string::npos || end == std::string::npos) {
            bodies.push_back("incomplete: " + text.substr(from));
            break;
        }
        const size_t size = std::stoul(text.substr(length + 16));
        bodies.push_back(text.substr(end + 4, size));
        from = end + 4 + size;
    }
    return bodies;
}

// Server whose handler runs as the path of each request asks, and records what it runs. Each path
// occurs once.
//   /gate...   responds once open() was called
//   /watch...  responds once open() was called; sets "cancelled" if the connection ends before
//   /close...  responds with Connection: close
//   /later-close  does the same once close() was called
//   /throw...  throws an exception
//   /cut...    sends a part of its response
//   /big...    responds with 300 KB
class pipelining_site
{
public:
    explicit pipelining_site(int maxPipelined, const http_server_options &base = {})
    {
        http_server_options options = base;
        options.maxPipelinedRequests = maxPipelined;
        options.isIdempotent = [](const Poco::Net::HTTPRequest &request) {
            return request.getMethod() == "GET";
        };
        options.isStopping = [this] { return isStopping.load(); };
        server =
            *http_server::listen(options, [this](server_exchange &exchange) { serve(exchange); });
    }
    ~pipelining_site()
    {
        open();
        close();
        server.reset();
    }

    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_isOpen = true;
        m_changed.notify_all();
    }
    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_isCloseDue = true;
        m_changed.notify_all();
    }
    // Waits until `count` requests have started, and returns whether they have.
    bool waitForStarted(size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, testTimeout, [&] { return m_started.size() >= count; });
    }
    bool waitForCancelled(size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, testTimeout, [&] { return m_cancelled.size() >= count; });
    }
    std::multiset<std::string> started()
    {
        const std::lock_guard lock(m_mutex);
        return m_started;
    }
    std::set<std::string> cancelled()
    {
        const std::lock_guard lock(m_mutex);
        return m_cancelled;
    }
    int mostRunning() const { return m_mostRunning; }
    // Returns the number of requests that did not notice that an earlier response closes their
    // connection.
    int passedOnBehindClosing() const { return m_passedOnBehindClosing; }

    std::atomic<bool> isStopping{false};
    std::unique_ptr<http_server> server;

private:
    void serve(server_exchange &exchange)
    {
        const std::string path = exchange.request().getURI();
        {
            const std::lock_guard lock(m_mutex);
            m_started.insert(path);
            m_mostRunning = std::max<int>(m_mostRunning, ++m_running);
            m_changed.notify_all();
        }
        const bool isWatched = path.starts_with("/watch");
        // Requests of generated sequences are numbered in their order.
        const int index = indexOf(path);
        const bool isBehindClosing = index > m_closingIndex;
        if (isBehindClosing
            && !exchange.connection().waitUntilClosed(std::chrono::steady_clock::now())) {
            ++m_passedOnBehindClosing;
        }
        if (isWatched || path.starts_with("/gate")) {
            waitUntilOpen(exchange, path, isWatched);
        }
        if (path.starts_with("/close") || path == "/later-close") {
            waitUntilCloseDue(path);
            exchange.closeAfterResponse();
            m_closingIndex = std::min(m_closingIndex.load(), index);
        }
        respond(exchange, path);
        --m_running;
    }

    void waitUntilOpen(server_exchange &exchange, const std::string &path, bool isWatched)
    {
        std::unique_lock lock(m_mutex);
        while (!m_isOpen) {
            m_changed.wait_for(lock, 5ms);
            if (isWatched
                && exchange.connection().waitUntilClosed(std::chrono::steady_clock::now())) {
                m_cancelled.insert(path);
                m_changed.notify_all();
                return;
            }
        }
    }

    // Returns the number at the end of a path, or 0.
    static int indexOf(const std::string &path)
    {
        const size_t digits = path.find_first_of("0123456789");
        return digits == std::string::npos ? 0 : std::stoi(path.substr(digits));
    }

    void waitUntilCloseDue(const std::string &path)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_isCloseDue || path != "/later-close"; });
    }

    static void respond(server_exchange &exchange, const std::string &path)
    {
        std::string body;
        exchange.readAll(body, 1024, timeAfter(testTimeout));
        if (path.starts_with("/throw")) {
            throw std::runtime_error("handler failed");
        }
        if (path.starts_with("/cut")) {
            Poco::Net::HTTPResponse head;
            exchange.beginResponse(head, {body_framing::kind::Length, 100});
            exchange.writeResponse("part");
            return;
        }
        exchange.respond(200, path.starts_with("/big") ? std::string(300'000, 'b') : path + body,
                         "text/plain");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isOpen = false;
    bool m_isCloseDue = false;
    std::atomic<int> m_closingIndex{std::numeric_limits<int>::max()};
    std::atomic<int> m_passedOnBehindClosing{0};
    std::multiset<std::string> m_started;
    std::set<std::string> m_cancelled;
    std::atomic<int> m_running{0};
    std::atomic<int> m_mostRunning{0};
};

using bodies = std::vector<std::string>;

} // namespace

// Load: catalogue reads, several on a connection before the first response. Guards against reads
// that wait unread behind a slow one, and against responses in another order than the requests.
TEST_CASE("idempotent requests run side by side and are answered in order", "[http]")
{
    pipelining_site site(16);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
    sendText(socket, get("/gate") + get("/2") + get("/3") + get("/4", "Connection: close\r\n"));
    CHECK(site.waitForStarted(4));
    // Nothing may be sent before the first response.
    CHECK_FALSE(socket.poll(Poco::Timespan(0, 50'000), Poco::Net::Socket::SELECT_READ));
    site.open();
    CHECK(bodiesOf(readToEnd(socket)) == bodies{"/gate", "/2", "/3", "/4"});
    CHECK(site.server->pipelinedRequests() == 3);
    CHECK(site.server->heldResponseBytes() == 0);
}

// Guards against requests that arrive while an earlier one runs and are left unread.
TEST_CASE("a request that arrives later runs beside an earlier one", "[http]")
{
    pipelining_site site(16);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
    sendText(socket, get("/gate"));
    CHECK(site.waitForStarted(1));
    sendText(socket, get("/2").substr(0, 10));
    std::this_thread::sleep_for(20ms);
    sendText(socket, get("/2").substr(10));
    CHECK(site.waitForStarted(2));
    site.open();
    sendText(socket, get("/close"));
    CHECK(bodiesOf(readToEnd(socket)) == bodies{"/gate", "/2", "/close"});
}

// Guards against a change for deployments that do not ask for pipelining.
TEST_CASE("with one pipelined request, requests run one after the other", "[http]")
{
    pipelining_site site(1);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
    sendText(socket, get("/gate") + get("/2") + post("/3", "x") + get("/close") + get("/5"));
    CHECK(site.waitForStarted(1));
    std::this_thread::sleep_for(50ms);
    CHECK(site.started().size() == 1);
    site.open();
    CHECK(bodiesOf(readToEnd(socket)) == bodies{"/gate", "/2", "/3x", "/close"});
    CHECK(site.mostRunning() == 1);
    CHECK(site.server->pipelinedRequests() == 0);
}

// Guards against a request that is not idempotent and runs although an earlier response closes the
// connection, after which the caller sends it again.
TEST_CASE("a request that is not idempotent runs after all before it are answered", "[http]")
{
    pipelining_site site(16);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
    sendText(socket, get("/gate") + get("/2") + post("/3", "x") + get("/4") + get("/close"));
    CHECK(site.waitForStarted(2));
    std::this_thread::sleep_for(50ms);
    CHECK(site.started() == std::multiset<std::string>{"/gate", "/2"});
    site.open();
    CHECK(bodiesOf(readToEnd(socket)) == bodies{"/gate", "/2", "/3x", "/4", "/close"});
}

// Guards against requests that run behind a response that closes the connection: the caller counts
// them as not read and sends them again.
TEST_CASE("nothing runs behind a response that closes the connection", "[http]")
{
    struct
    {
        const char *name;
        std::string closing;
        bodies expected;
    } const table[] = {
        {"handler", get("/close"), {"/gate", "/close"}},
        {"request", get("/asked", "Connection: close\r\n"), {"/gate", "/asked"}},
        {"exception", get("/throw"), {"/gate"}},
        {"malformed", "nonsense\r\n\r\n", {"/gate", "malformed-request\n"}},
        {"HTTP/1.0",
         "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
         {"/gate", "http-version-not-supported\n"}},
        {"not idempotent", post("/close", ""), {"/gate", "/close"}},
    };
    for (const auto &row : table) {
        CAPTURE(row.name);
        pipelining_site site(16);
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
        sendText(socket, get("/gate") + row.closing);
        CHECK(site.waitForStarted(1));
        std::this_thread::sleep_for(50ms);
        sendText(socket, post("/behind", "x") + get("/behind2"));
        std::this_thread::sleep_for(20ms);
        site.open();
        CHECK(bodiesOf(readToEnd(socket)) == row.expected);
        CHECK(site.started().count("/behind") == 0);
        CHECK(site.started().count("/behind2") == 0);
    }
}

// Guards against responses behind a truncated one, which the caller would take for its end.
TEST_CASE("nothing follows a truncated response", "[http]")
{
    pipelining_site site(16);
    const std::string text =
        exchangeBytes(site.server->address(), get("/1") + get("/cut") + get("/2") + post("/3", ""));
    CHECK(bodiesOf(text) == bodies{"/1", "part"});
    CHECK(site.started().count("/3") == 0);
}

// Guards against upstream work for responses that are never sent, and against requests before the
// closing one that are cancelled with those behind it.
TEST_CASE("requests behind a closing response notice that they are cancelled", "[http]")
{
    pipelining_site site(16);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
    sendText(socket, get("/watch1") + get("/later-close") + get("/watch3") + get("/watch4"));
    CHECK(site.waitForStarted(4));
    CHECK(site.cancelled().empty());
    site.close();
    CHECK(site.waitForCancelled(2));
    site.open();
    CHECK(bodiesOf(readToEnd(socket)) == bodies{"/watch1", "/later-close"});
    CHECK(site.cancelled() == std::set<std::string>{"/watch3", "/watch4"});
}

// Guards against requests that are lost or wait forever while all threads of the server are in use.
TEST_CASE("pipelined requests without a thread of their own run in turn", "[http]")
{
    http_server_options options;
    options.maxConnections = 1;
    pipelining_site site(16, options);
    site.open();
    const std::string text =
        exchangeBytes(site.server->address(),
                      get("/1") + get("/2") + post("/3", "x") + get("/4") + get("/close"));
    CHECK(bodiesOf(text) == bodies{"/1", "/2", "/3x", "/4", "/close"});
    CHECK(site.mostRunning() == 1);
}

// Guards against requests that occupy an upstream after their caller has gone.
TEST_CASE("all requests of a caller that disconnects are cancelled", "[http]")
{
    pipelining_site site(16);
    {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
        sendText(socket, get("/watch1") + get("/watch2") + get("/watch3") + post("/4", ""));
        CHECK(site.waitForStarted(3));
        std::this_thread::sleep_for(50ms);
        CHECK(site.cancelled().empty());
    }
    CHECK(site.waitForCancelled(3));
    const steady_time end = timeAfter(testTimeout);
    while (site.server->connectionCount() > 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(site.server->connectionCount() == 0);
    CHECK(site.started().count("/4") == 0);
}

// Load: a hundred requests queued behind one another. Guards against a number of threads, or of
// bytes, that grows with them.
TEST_CASE("a hundred pipelined requests run in bounded numbers", "[http]")
{
    constexpr int requestCount = 100;
    constexpr int maxPipelined = 4;
    pipelining_site site(maxPipelined);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
    std::string text = get("/gate");
    bodies expected{"/gate"};
    for (int i = 1; i < requestCount; ++i) {
        const std::string path = absl::StrCat("/", i);
        text += get(path, i == requestCount - 1 ? "Connection: close\r\n" : "");
        expected.push_back(path);
    }
    sendText(socket, text);
    CHECK(site.waitForStarted(maxPipelined));
    std::this_thread::sleep_for(50ms);
    CHECK(site.started().size() == maxPipelined);
    site.open();
    CHECK(bodiesOf(readToEnd(socket)) == expected);
    CHECK(site.mostRunning() <= maxPipelined);
}

// Load: callers that read slowly. Guards against memory without a bound for a caller that never
// reads, and against handlers that wait for it longer than their requests.
TEST_CASE("responses for a caller that never reads are held within the bound", "[http]")
{
    http_server_options options;
    options.idleTimeout = 300ms;
    options.maxHeldBytes = 400'000;
    pipelining_site site(16, options);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
    std::string text;
    for (int i = 0; i < 60; ++i) {
        text += get(absl::StrCat("/big", i));
    }
    sendText(socket, text);
    size_t most = 0;
    const steady_time end = timeAfter(testTimeout);
    while (site.server->connectionCount() > 0 && std::chrono::steady_clock::now() < end) {
        most = std::max(most, site.server->heldResponseBytes());
        std::this_thread::sleep_for(5ms);
    }
    CHECK(site.server->connectionCount() == 0);
    CHECK(most <= options.maxHeldBytesPerConnection);
    CHECK(site.server->heldResponseBytes() == 0);
}

// Guards against a large response that is lost because it exceeds the bound before it is next.
TEST_CASE("a response above the bound waits until it is next", "[http]")
{
    pipelining_site site(16);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
    sendText(socket, get("/gate") + get("/big1") + get("/3") + get("/big2") + get("/close"));
    CHECK(site.waitForStarted(5));
    site.open();
    const bodies received = bodiesOf(readToEnd(socket));
    REQUIRE(received.size() >= 2);
    CHECK(received[1].size() == 300'000);
    // The response to /close may cancel nothing before it.
    CHECK(received.size() == 5);
}

// Guards against a stop that cuts off requests that were read, or reads requests that it does not
// answer.
TEST_CASE("a stop answers the requests that were read and closes the connection", "[http]")
{
    for (const bool stopsListening : {false, true}) {
        CAPTURE(stopsListening);
        pipelining_site site(16);
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
        sendText(socket, get("/gate") + get("/gate2"));
        CHECK(site.waitForStarted(2));
        if (stopsListening) {
            site.server->stopListening();
        } else {
            site.isStopping = true;
        }
        site.open();
        const std::string text = readToEnd(socket);
        CHECK(bodiesOf(text) == bodies{"/gate", "/gate2"});
        CHECK(text.rfind("Connection: Close") > text.rfind("HTTP/1.1 200"));
        CHECK(text.find("Connection: Close") == text.rfind("Connection: Close"));
    }
}

// Guards against a server that waits for heads that never end or that loses the responses before
// them.
TEST_CASE("a head that stops midway does not delay the responses before it", "[http]")
{
    http_server_options options;
    options.idleTimeout = 200ms;
    pipelining_site site(16, options);
    site.open();
    const std::string text =
        exchangeBytes(site.server->address(), get("/1") + get("/2") + "GET /3 HTTP/1.1\r\nHo");
    CHECK(bodiesOf(text) == bodies{"/1", "/2"});
    CHECK(site.started().count("/3") == 0);
}

// Guards against sequences of requests that lose, repeat or reorder a response, or that run a
// request behind a closing response.
TEST_CASE("generated sequences of pipelined requests", "[http]")
{
    constexpr int sequenceCount = 60;
    for (int seed = 0; seed < sequenceCount; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
        const auto below = [&](unsigned n) { return random() % n; };
        pipelining_site site(static_cast<int>(1 + below(6)));
        site.open();
        std::vector<std::string> pieces;
        bodies expected;
        bool isClosed = false;
        std::set<std::string> mustNotRun;
        const unsigned count = 2 + below(12);
        for (unsigned i = 0; i <= count; ++i) {
            const unsigned kind = i == count ? 0 : 1 + below(12);
            const std::string path = absl::StrCat(kind <= 1       ? "/close"
                                                      : kind == 2 ? "/cut"
                                                      : kind == 3 ? "/big"
                                                                  : "/",
                                                  i);
            const bool isPost = kind == 4 || kind == 5;
            pieces.push_back(isPost ? post(path, "body") : get(path));
            if (isClosed) {
                if (isPost) {
                    mustNotRun.insert(path);
                }
                continue;
            }
            expected.push_back(kind == 2       ? "part"
                                   : kind == 3 ? std::string(300'000, 'b')
                                   : isPost    ? path + "body"
                                               : path);
            isClosed = kind <= 2;
        }
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.server->address())};
        std::string text;
        std::thread sender([&] {
            try {
                for (const std::string &piece : pieces) {
                    sendText(socket, piece);
                    std::this_thread::sleep_for(std::chrono::microseconds(below(300)));
                }
            } catch (const std::exception &) {
                // The server has closed the connection.
            }
        });
        text = readToEnd(socket);
        sender.join();
        CHECK(bodiesOf(text) == expected);
        CHECK(site.passedOnBehindClosing() == 0);
        const auto started = site.started();
        for (const std::string &path : started) {
            CHECK(started.count(path) == 1);
            CHECK(mustNotRun.count(path) == 0);
        }
    }
}
