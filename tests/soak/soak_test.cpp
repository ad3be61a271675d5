// A soak of the router daemon: clients use open connections until the process is gone, while
// signals, restarts, changes of the desired state, and outages and losses of the store come in
// series and overlap. Each seed is one
// run. PERSIMMONRAIL_SOAK_SEEDS="FIRST COUNT" plays other seeds than the two of CI; each tenth seed
// has many hosts.
#include "soak/soak_site.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <random>
#include <sstream>

using namespace soak;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds eventTime{8000};
// The grace period, and time for a busy machine to end the process.
constexpr milliseconds maxStopTime{8000};
// The users' bound for a change of the desired state.
constexpr milliseconds configApply{2000};
// The users' time from the end of a disturbance of the store until bounds hold.
constexpr milliseconds contactTime{3000};
// The share of its responses that the users' store loses at times.
constexpr int lostPercentage = 35;
constexpr int smallSiteHosts = 4;
constexpr int largeSiteHosts = 40;

// What one client saw of one request.
struct observation
{
    std::string id;
    bool isRepeatable = false;
    // HTTP status; 0 if the connection ended before the complete response.
    int status = 0;
    // Whether a success has the body of this request.
    bool isGenuine = false;
    // Whether the daemon got SIGKILL meanwhile.
    bool wasKilled = false;
};

// Sends requests to one daemon, one after the other on an open connection, until `isStopping`.
class soak_client
{
public:
    soak_client(soak_host &host, std::string name, uint64_t seed,
                const std::atomic<bool> &isStopping)
        : m_host(host)
        , m_name(std::move(name))
        , m_random(seed)
        , m_isStopping(isStopping)
        , m_thread([this] { run(); })
    { }
    // Ends when the stop flag is set.
    std::vector<observation> join()
    {
        m_thread.join();
        return std::move(m_seen);
    }

private:
    void run()
    {
        for (int number = 0; !m_isStopping; ++number) {
            if (!m_socket && !connect()) {
                waitUntil([this] { return m_isStopping.load(); }, 20ms);
                continue;
            }
            send(m_name + "-" + std::to_string(number));
            waitUntil([this] { return m_isStopping.load(); }, milliseconds(m_random() % 10));
        }
    }
    bool connect()
    {
        try {
            m_socket.emplace(Poco::Net::SocketAddress(m_host.callerAddress()));
            m_socket->setReceiveTimeout(Poco::Timespan(10, 0));
            return true;
        } catch (const Poco::Exception &) {
            m_socket.reset();
            return false;
        }
    }
    void send(const std::string &id)
    {
        const bool isRepeatable = m_random() % 2 == 0;
        const std::string path = (isRepeatable ? "/p/" : "/n/") + id;
        observation seen{id};
        seen.isRepeatable = isRepeatable;
        const int killsBefore = m_host.killCount();
        try {
            sendText(*m_socket,
                     (isRepeatable ? "GET " : "POST ") + path
                         + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\nRequest-Id: " + id
                         + "\r\nRequest-Timeout-Ms: 3000\r\n\r\n");
            receive(path, seen);
        } catch (const Poco::Exception &) {
            seen.status = 0;
        }
        if (seen.status == 0) {
            m_socket.reset();
        }
        seen.wasKilled = m_host.killCount() != killsBefore;
        m_seen.push_back(std::move(seen));
    }
    void receive(const std::string &path, observation &seen)
    {
        const std::string text = readHeadText(*m_socket);
        if (text.empty()) {
            return;
        }
        std::istringstream stream(text);
        Poco::Net::HTTPResponse head;
        head.read(stream);
        std::string body(static_cast<size_t>(head.getContentLength64()), '\0');
        for (size_t read = 0; read < body.size();) {
            const int count =
                m_socket->receiveBytes(body.data() + read, static_cast<int>(body.size() - read));
            if (count <= 0) {
                return;
            }
            read += static_cast<size_t>(count);
        }
        seen.status = head.getStatus();
        seen.isGenuine = body.find(path + " ") != std::string::npos;
        if (!head.getKeepAlive()) {
            m_socket.reset();
        }
    }

    soak_host &m_host;
    const std::string m_name;
    std::mt19937_64 m_random;
    const std::atomic<bool> &m_isStopping;
    std::optional<Poco::Net::StreamSocket> m_socket;
    std::vector<observation> m_seen;
    // Declared last, because the thread uses the members above.
    std::thread m_thread;
};

// Plays signals, restarts and changes. Each disturbed host has a thread, so that series on one host
// overlap with those on others.
class disturbances
{
public:
    disturbances(soak_site &site, uint64_t seed)
        : m_site(site)
        , m_random(seed)
    { }
    // Plays for `time`. Returns the number of daemons that did not stop as they should.
    int play(milliseconds time)
    {
        const steady_time end = std::chrono::steady_clock::now() + time;
        std::vector<std::thread> threads;
        const size_t disturbed = m_site.hosts().size() / 2;
        for (size_t i = 0; i < disturbed; ++i) {
            threads.emplace_back([this, i, end, random = std::mt19937_64(m_random())]() mutable {
                disturb(*m_site.hosts()[i], random, end);
            });
        }
        while (std::chrono::steady_clock::now() < end) {
            pause(m_random);
            const uint64_t kind = m_random() % 5;
            if (kind == 0) {
                m_site.store().setFaultMode(store_standin::fault_mode::Unavailable);
                pause(m_random);
                m_site.store().setFaultMode(store_standin::fault_mode::None);
            } else if (kind == 1) {
                changeWithLosses();
            } else {
                m_site.addRoute();
            }
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        return m_badStops;
    }
    // Returns when the store lost no more responses; the clock's epoch if it never lost any.
    steady_time lossesEndedAt() const { return m_lossesEndedAt; }

private:
    // Changes the desired state while the store loses a part of its responses.
    void changeWithLosses()
    {
        m_site.store().loseResponses(
            [random = std::mt19937_64(m_random())](const store_standin::store_call &) mutable {
                return random() % 100 < lostPercentage;
            });
        m_site.addRoute();
        pause(m_random);
        m_site.store().loseResponses({});
        m_lossesEndedAt = std::chrono::steady_clock::now();
    }
    static void pause(std::mt19937_64 &random)
    {
        const steady_time end = std::chrono::steady_clock::now() + milliseconds(random() % 600);
        waitUntil([end] { return std::chrono::steady_clock::now() >= end; }, 1000ms);
    }
    void disturb(soak_host &host, std::mt19937_64 &random, steady_time end)
    {
        while (std::chrono::steady_clock::now() < end) {
            pause(random);
            const uint64_t kind = random() % 6;
            if (kind < 2) {
                host.rewriteSettings();
                host.signal(SIGHUP);
            } else if (kind < 5) {
                host.signal(SIGTERM);
                // Signals during a stop, in a series.
                if (random() % 2 == 0) {
                    pause(random);
                    host.signal(random() % 2 == 0 ? SIGHUP : SIGTERM);
                }
                m_badStops += host.restart(0, maxStopTime) ? 0 : 1;
            } else {
                host.signal(SIGKILL);
                host.restart(-1, maxStopTime);
            }
        }
    }

    soak_site &m_site;
    std::mt19937_64 m_random;
    steady_time m_lossesEndedAt{};
    std::atomic<int> m_badStops{0};
};

void checkObservations(const std::vector<observation> &seen,
                       const std::map<std::string, int> &startCounts)
{
    int lost = 0;
    int notGenuine = 0;
    int runTwice = 0;
    int refusedAndRun = 0;
    int served = 0;
    for (const observation &one : seen) {
        const auto started = startCounts.find(one.id);
        const int starts = started == startCounts.end() ? 0 : started->second;
        served += one.status == 200 ? 1 : 0;
        lost += one.status == 0 && starts > 0 && !one.wasKilled ? 1 : 0;
        notGenuine += one.status == 200 && !one.isGenuine ? 1 : 0;
        refusedAndRun += one.status == 503 && starts > 0 ? 1 : 0;
        runTwice += !one.isRepeatable && starts > 1 ? 1 : 0;
    }
    CHECK(served > 0);
    CHECK(lost == 0);
    CHECK(notGenuine == 0);
    CHECK(runTwice == 0);
    CHECK(refusedAndRun == 0);
}

void playSeed(uint64_t seed)
{
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    soak_site site(seed % 10 == 0 ? largeSiteHosts : smallSiteHosts);
    std::atomic<bool> isStopping{false};
    std::vector<std::unique_ptr<soak_client>> clients;
    for (size_t i = 0; i < site.hosts().size(); ++i) {
        for (int client = 0; client < 2; ++client) {
            const std::string name =
                std::to_string(seed) + "-" + std::to_string(i) + "-" + std::to_string(client);
            clients.push_back(
                std::make_unique<soak_client>(*site.hosts()[i], name, random(), isStopping));
        }
    }
    disturbances disturbances(site, random());
    CHECK(disturbances.play(eventTime) == 0);
    isStopping = true;
    std::vector<observation> seen;
    for (const auto &client : clients) {
        const std::vector<observation> part = client->join();
        seen.insert(seen.end(), part.begin(), part.end());
    }
    checkObservations(seen, site.startCounts());
    site.addRoute();
    const steady_time inForceBy = std::max(std::chrono::steady_clock::now() + configApply,
                                           disturbances.lossesEndedAt() + contactTime);
    std::this_thread::sleep_until(inForceBy);
    for (const auto &host : site.hosts()) {
        CHECK(callRouter(host->callerAddress(), "last", site.newestPrefix() + "x", {}).status
              != 404);
    }
}

} // namespace

// Guards against LOST, TWICE, REFUSED, MIXED and CONFIG around planned stops, kills and changes.
TEST_CASE("clients get whole and true responses while daemons stop and start", "[soak]")
{
    uint64_t first = 1;
    uint64_t count = 2;
    if (const char *seeds =
            std::getenv("PERSIMMONRAIL_SOAK_SEEDS")) { // NOLINT(concurrency-mt-unsafe)
        std::istringstream(seeds) >> first >> count;
    }
    for (uint64_t seed = first; seed < first + count; ++seed) {
        playSeed(seed);
    }
}
