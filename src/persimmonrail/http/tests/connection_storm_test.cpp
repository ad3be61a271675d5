#include "persimmonrail/http/accept_batch.h"
#include "persimmonrail/http/http_client.h"
#include "persimmonrail/http/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include <sched.h>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Runs the current thread, and those that it starts, on one processor during its lifetime, so that
// the threads of a server get only a share of it.
class single_processor_scope
{
public:
    single_processor_scope()
    {
        sched_getaffinity(0, sizeof(m_previous), &m_previous);
        cpu_set_t one;
        CPU_ZERO(&one);
        CPU_SET(sched_getcpu(), &one);
        sched_setaffinity(0, sizeof(one), &one);
    }
    single_processor_scope(const single_processor_scope &) = delete;
    single_processor_scope &operator=(const single_processor_scope &) = delete;
    ~single_processor_scope() { sched_setaffinity(0, sizeof(m_previous), &m_previous); }

private:
    cpu_set_t m_previous{};
};

// Threads that open connections to a server and reset them, without a pause, until the storm is
// stopped.
class connection_storm
{
public:
    connection_storm(const std::string &address, int threads)
    {
        for (int i = 0; i < threads; ++i) {
            m_threads.emplace_back([this, address] {
                while (!m_isStopping) {
                    connectOnce(address);
                }
            });
        }
    }
    connection_storm(const connection_storm &) = delete;
    connection_storm &operator=(const connection_storm &) = delete;
    ~connection_storm()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }
    uint64_t connections() const { return m_connections; }

private:
    void connectOnce(const std::string &address)
    {
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(1, 0));
            socket.setLinger(true, 0);
            ++m_connections;
        } catch (const Poco::Exception &) {
            // The backlog of the server is full.
            std::this_thread::yield();
        }
    }

    std::atomic<bool> m_isStopping{false};
    std::atomic<uint64_t> m_connections{0};
    std::vector<std::thread> m_threads;
};

} // namespace

// Guards against an intake of connections without a bound, during which no request is served.
TEST_CASE("connections are accepted in batches", "[http]")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"), 64);
    constexpr int clientCount = 40;
    std::vector<Poco::Net::StreamSocket> clients;
    clients.reserve(clientCount);
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back(listener.address());
    }
    int accepted = 0;
    const auto onConnection = [&](const Poco::Net::StreamSocket &) { ++accepted; };
    CHECK(acceptBatch(listener, 16, onConnection));
    CHECK(accepted == 16);
    CHECK(acceptBatch(listener, 16, onConnection));
    CHECK(accepted == 32);
    CHECK_FALSE(acceptBatch(listener, 16, onConnection));
    CHECK(accepted == clientCount);
}

// Guards against a server that accepts new connections for as long as more of them come, and
// answers nothing meanwhile: peers that get no response open further connections.
TEST_CASE("requests on open connections are served while new connections keep coming", "[http]")
{
    const single_processor_scope processor;
    http_server_options options;
    options.maxConnections = 64;
    const auto server = *http_server::listen(
        options, [](server_exchange &exchange) { exchange.respond(200, "ok", "text/plain"); });
    http_client client(std::make_shared<connection_pool>());
    const auto send = [&] {
        return simpleRequest(client, server->address(), "GET", "/", "",
                             std::chrono::steady_clock::now() + 10s);
    };
    REQUIRE(send().ok());
    const connection_storm storm(server->address(), 16);
    while (storm.connections() < 1000) {
        std::this_thread::yield();
    }
    for (int i = 0; i < 50; ++i) {
        const auto response = send();
        REQUIRE(response.ok());
        CHECK(response->status == 200);
    }
}
