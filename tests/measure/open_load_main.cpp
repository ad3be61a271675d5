// Sends PUT requests of 1 KB at a fixed rate for a fixed time, whatever the answers (open loop),
// and prints one JSON line. Latencies count from the time at which a request was due.
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
constexpr int keyCount = 200;

struct load_options
{
    std::string address;
    std::string path = "/haulbook/hauls/";
    int rate = 1000;
    int seconds = 10;
    int connections = 128;
};

bool parseBounded(const char *text, int most, int &value)
{
    return absl::SimpleAtoi(text, &value) && value >= 1 && value <= most;
}

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

// What one connection measured.
struct connection_result
{
    std::vector<double> latenciesMs;
    int refused = 0;
    int failed = 0;
};

class load
{
public:
    explicit load(const load_options &options)
        : m_options(options)
        , m_total(options.rate * options.seconds)
        , m_body(bodyBytes, 'x')
        , m_results(static_cast<size_t>(options.connections))
    { }

    void run()
    {
        // Leaves the threads time to start and connect.
        m_start = steady_clock::now() + std::chrono::milliseconds(500);
        std::vector<std::thread> threads;
        for (connection_result &result : m_results) {
            threads.emplace_back([this, &result] { serveConnection(result); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    void print() const
    {
        std::vector<double> all;
        int refused = 0;
        int failed = 0;
        for (const connection_result &result : m_results) {
            all.insert(all.end(), result.latenciesMs.begin(), result.latenciesMs.end());
            refused += result.refused;
            failed += result.failed;
        }
        std::sort(all.begin(), all.end());
        const auto quantile = [&all](double part) {
            const auto at = static_cast<size_t>(part * static_cast<double>(all.size()));
            return all.empty() ? 0 : all[std::min(at, all.size() - 1)];
        };
        const double seconds = std::chrono::duration<double>(steady_clock::now() - m_start).count();
        std::cout << absl::StrFormat("{\"offered\":%d,\"rate\":%d,\"ok\":%d,\"refused\":%d,"
                                     "\"failed\":%d,\"seconds\":%.2f,\"p50_ms\":%.2f,"
                                     "\"p99_ms\":%.2f,\"p99.9_ms\":%.2f}\n",
                                     m_total, m_options.rate, all.size(), refused, failed, seconds,
                                     quantile(0.5), quantile(0.99), quantile(0.999));
    }

private:
    // Takes the next request that is due and sends it, until all are sent.
    void serveConnection(connection_result &result)
    {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(m_options.address)};
        session.setKeepAlive(true);
        session.setTimeout(Poco::Timespan(5, 0));
        for (int i = m_next++; i < m_total; i = m_next++) {
            const auto due =
                m_start + std::chrono::nanoseconds(1'000'000'000LL * i / m_options.rate);
            std::this_thread::sleep_until(due);
            try {
                const int status = send(session, i % keyCount);
                if (status == 200 || status == 201 || status == 204) {
                    result.latenciesMs.push_back(
                        std::chrono::duration<double, std::milli>(steady_clock::now() - due)
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

    int send(Poco::Net::HTTPClientSession &session, int key)
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
    std::atomic<int> m_next = 0;
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
    load run(options);
    run.run();
    run.print();
    return 0;
}
