// Open-loop load generator. Sends PUT requests with a body of 1 KB at a fixed rate for a fixed
// time, independently of the responses, and prints one JSON line. The latency of a request is
// counted from the time at which the request was scheduled, so that it includes the wait for a free
// connection.
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <getopt.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <iostream>
#include <thread>
#include <vector>

namespace {

using steady_clock = std::chrono::steady_clock;

constexpr char usage[] = "Usage: open_load --address IP:PORT [options]\n"
                         "  --path PREFIX      prefix of the path before the key\n"
                         "  --rate N           requests per second, at most 20000\n"
                         "  --seconds N        duration, at most 60\n"
                         "  --connections N    connections, at most 512\n";

constexpr size_t bodyBytes = 1024;
// Requests use the keys "key-0" to "key-199" in turn.
constexpr int keyCount = 200;

struct load_options
{
    std::string address;
    // Prefix of the path before the key.
    std::string path = "/haulbook/hauls/";
    // Requests per second.
    int rate = 1000;
    int seconds = 10;
    int connections = 128;
};

// Parses an integer from 1 to `maxValue`; returns false for any other text.
bool parseBounded(const char *text, int maxValue, int &value)
{
    return absl::SimpleAtoi(text, &value) && value >= 1 && value <= maxValue;
}

// Returns false if a flag is unknown, has an invalid value or if the address is missing.
bool parseFlags(int argc, char **argv, load_options &options)
{
    constexpr option flags[] = {{"address", required_argument, nullptr, 'a'},
                                {"path", required_argument, nullptr, 'p'},
                                {"rate", required_argument, nullptr, 'r'},
                                {"seconds", required_argument, nullptr, 's'},
                                {"connections", required_argument, nullptr, 'c'},
                                {nullptr, 0, nullptr, 0}};
    bool ok = true;
    int flag = 0;
    while (ok && (flag = getopt_long(argc, argv, "", flags, nullptr)) != -1) {
        switch (flag) {
        case 'a':
            options.address = optarg;
            break;
        case 'p':
            options.path = optarg;
            break;
        case 'r':
            ok = parseBounded(optarg, 20000, options.rate);
            break;
        case 's':
            ok = parseBounded(optarg, 60, options.seconds);
            break;
        case 'c':
            ok = parseBounded(optarg, 512, options.connections);
            break;
        default:
            ok = false;
        }
    }
    return ok && !options.address.empty() && optind == argc;
}

// Results of the requests of one connection.
struct connection_result
{
    // Latencies of the requests with status 200, 201 or 204.
    std::vector<double> latenciesMs;
    // Requests with status 429 or 503.
    int refused = 0;
    // Requests with any other status or without a complete response.
    int failed = 0;
};

// Sends the load over all connections, with one thread for each, and prints the result.
class load_generator
{
public:
    explicit load_generator(const load_options &options)
        : m_options(options)
        , m_total(options.rate * options.seconds)
        , m_body(bodyBytes, 'x')
        , m_results(static_cast<size_t>(options.connections))
    { }

    // Returns when all requests have been sent and have ended.
    void run()
    {
        // Gives the threads 500 ms to start before the first request is scheduled.
        m_start = steady_clock::now() + std::chrono::milliseconds(500);
        std::vector<std::thread> threads;
        for (connection_result &result : m_results) {
            threads.emplace_back([this, &result] { runConnection(result); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    // Prints the result as one JSON line; run() must have returned.
    void print() const
    {
        std::vector<double> latenciesMs;
        int refused = 0;
        int failed = 0;
        for (const connection_result &result : m_results) {
            latenciesMs.insert(latenciesMs.end(), result.latenciesMs.begin(),
                               result.latenciesMs.end());
            refused += result.refused;
            failed += result.failed;
        }
        std::sort(latenciesMs.begin(), latenciesMs.end());
        const auto quantile = [&latenciesMs](double fraction) {
            const auto index =
                static_cast<size_t>(fraction * static_cast<double>(latenciesMs.size()));
            return latenciesMs.empty() ? 0 : latenciesMs[std::min(index, latenciesMs.size() - 1)];
        };
        const double seconds = std::chrono::duration<double>(steady_clock::now() - m_start).count();
        std::cout << absl::StrFormat("{\"offered\":%d,\"rate\":%d,\"ok\":%d,\"refused\":%d,"
                                     "\"failed\":%d,\"seconds\":%.2f,\"p50_ms\":%.2f,"
                                     "\"p99_ms\":%.2f,\"p99.9_ms\":%.2f}\n",
                                     m_total, m_options.rate, latenciesMs.size(), refused, failed,
                                     seconds, quantile(0.5), quantile(0.99), quantile(0.999));
    }

private:
    // Sends requests over one connection, one at a time: takes the next request that no connection
    // has taken, waits for its scheduled time and sends it, until no request is left.
    void runConnection(connection_result &result)
    {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(m_options.address)};
        session.setKeepAlive(true);
        session.setTimeout(Poco::Timespan(5, 0));
        for (int i = m_next++; i < m_total; i = m_next++) {
            const auto scheduledAt =
                m_start + std::chrono::nanoseconds(1'000'000'000LL * i / m_options.rate);
            std::this_thread::sleep_until(scheduledAt);
            try {
                const int status = sendRequest(session, i % keyCount);
                if (status == 200 || status == 201 || status == 204) {
                    result.latenciesMs.push_back(
                        std::chrono::duration<double, std::milli>(steady_clock::now() - scheduledAt)
                            .count());
                } else if (status == 429 || status == 503) {
                    ++result.refused;
                } else {
                    ++result.failed;
                }
            } catch (const Poco::Exception &) {
                ++result.failed;
                session.reset();
            }
        }
    }

    // Sends one PUT request for a key and returns the status of the response. Throws
    // Poco::Exception if no complete response arrives.
    int sendRequest(Poco::Net::HTTPClientSession &session, int key)
    {
        Poco::Net::HTTPRequest request("PUT", absl::StrCat(m_options.path, "key-", key),
                                       "HTTP/1.1");
        request.setKeepAlive(true);
        request.setContentLength(static_cast<std::streamsize>(m_body.size()));
        session.sendRequest(request) << m_body;
        Poco::Net::HTTPResponse response;
        Poco::NullOutputStream sink;
        Poco::StreamCopier::copyStream(session.receiveResponse(response), sink);
        return response.getStatus();
    }

    const load_options m_options;
    const int m_total;
    const std::string m_body;
    std::vector<connection_result> m_results;
    // Number of the next request that no connection has taken.
    std::atomic<int> m_next = 0;
    // Scheduled time of the first request.
    steady_clock::time_point m_start;
};

} // namespace

int main(int argc, char **argv)
{
    load_options options;
    if (!parseFlags(argc, argv, options)) {
        std::cerr << usage;
        return 2;
    }
    load_generator generator(options);
    generator.run();
    generator.print();
    return 0;
}
