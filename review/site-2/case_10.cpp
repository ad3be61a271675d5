// Case 10: requests whose responses never end get no final answer. See review/10/claim.txt.
#include "site.h"

using namespace site;

namespace {

constexpr int orderIntervalMs = 40;
constexpr int routeTimeoutMs = 2000;
constexpr int clientDeadlineMs = 4000;
constexpr int judgedMs = routeTimeoutMs + 500;
// Of the answers of one of two instances, at most this share never ends.
constexpr double endlessShare = 0.05;

struct order
{
    std::string id;
    int status = 0;
    // Until the whole answer, the end of the connection, or the client's deadline.
    int tookMs = 0;
};

// Sends a request and reads the response as over a link of about 1.6 MB/s. Returns its status, 0 if
// the connection ended early, or -1 if the client left at its deadline.
int readDocument(const std::string &address, const std::string &id)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(address);
    const std::string text = "GET /document/d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
        + "\r\nRequest-Timeout-Ms: " + std::to_string(clientDeadlineMs) + "\r\n\r\n";
    const moment deadline = clock_type::now() + milliseconds(clientDeadlineMs);
    int status = 0;
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0
        && ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) > 0) {
        std::string head;
        char bytes[16384];
        for (;;) {
            pollfd polled{descriptor, POLLIN, 0};
            const auto left =
                std::chrono::duration_cast<milliseconds>(deadline - clock_type::now()).count();
            if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0) {
                status = -1;
                break;
            }
            const ssize_t n = ::recv(descriptor, bytes, sizeof bytes, 0);
            if (n <= 0) {
                break;
            }
            if (head.size() < 4096) {
                head.append(bytes, static_cast<size_t>(n));
            }
            const size_t end = head.find("\r\n\r\n");
            const size_t length = head.find("Content-Length: ");
            if (end != std::string::npos && length < end
                && head.size() >= end + 4 + std::stoul(head.substr(length + 16))) {
                status = std::atoi(head.substr(9, 3).c_str());
                break;
            }
            sleepFor(10);
        }
    }
    ::close(descriptor);
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    const bool trouble = hasTrouble();
    record log(argc > 1 ? argv[1] : "record.txt");
    log.write(trouble ? "with the disruption" : "without the disruption");
    const folder files;
    store objects(hostAddress(0) + ":8309");
    objects.write("config", "main",
                  desiredState(route("/document/", "download", "docvault", routeTimeoutMs) + ","
                                   + route("/front/", "idempotent", "front", 1200),
                               "{\"name\":\"docvault\",\"healthCheckPath\":\"/health\","
                               "\"connectionLimit\":93},{\"name\":\"front\",\"healthCheckPath\":"
                               "\"/health\",\"connectionLimit\":93}"));
    const std::map<std::string, std::string> values = {
        {"heartbeat", "1500ms"},           {"bounds.maxHold", "10000ms"},
        {"bounds.drainTimeout", "2000ms"}, {"bounds.gracePeriod", "6s"},
        {"bounds.retryBudgetRatio", "0.2"}, {"bounds.retryBudgetSlack", "56"},
        {"bounds.retryWindow", "10s"},     {"limits.linkMbps", "1000.0"},
        {"limits.cpuShare", "0.2"},        {"limits.cpuCores", "1"},
        {"limits.memoryMb", "260"},
        {"contracts", "base,drain,config,cost,retry,recover,own,platform"}};
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::unique_ptr<instance>> instances;
    const auto add = [&](int number, const std::string &service) {
        machines.push_back(std::make_unique<machine>(
            host_options{number, service, objects.address(), files.path(), values}));
        machine &host = *machines.back();
        instances.push_back(std::make_unique<instance>(
            instance_options{"i-" + service + std::to_string(number), service,
                             host.applicationAddress(), host.controlAddress(), 18, false, 290},
            log));
        host.startDaemon();
        instances.back()->startHeartbeats(1500);
    };
    add(1, "docvault");
    add(2, "docvault");
    add(3, "front");
    instance &faulty = *instances[0];
    const std::string caller = machines[2]->callerAddress();
    std::atomic<int> lastId{0};
    const auto makeId = [&lastId] {
        char id[20];
        std::snprintf(id, sizeof id, "%016x", ++lastId);
        return std::string(id);
    };
    const bool isServed = waitUntil([&] {
        request(caller, "GET", "/document/first", makeId(), std::nullopt, 2500, "");
        return !instances[0]->runs().empty() && !instances[1]->runs().empty();
    }, 25000);
    if (!isServed) {
        std::cerr << "the site isn't served\n";
        return 2;
    }
    log.write("the site is served");

    std::mutex mutex;
    std::deque<order> orders;
    std::vector<std::thread> clients;
    std::atomic<bool> isSending{true};
    std::thread sender([&] {
        while (isSending) {
            const moment next = clock_type::now() + milliseconds(orderIntervalMs);
            order *sent = nullptr;
            {
                const std::lock_guard lock(mutex);
                orders.emplace_back();
                sent = &orders.back();
                sent->id = makeId();
            }
            clients.emplace_back([&, sent] {
                log.write("client sends request " + sent->id);
                const moment sentAt = clock_type::now();
                sent->status = readDocument(caller, sent->id);
                sent->tookMs = static_cast<int>(
                    std::chrono::duration_cast<milliseconds>(clock_type::now() - sentAt).count());
                log.write(sent->status < 0 ? "client leaves at its deadline, in the body of request "
                                  + sent->id
                              : sent->status == 0
                              ? "the connection of request " + sent->id + " ends early"
                              : "client gets " + std::to_string(sent->status) + " for request "
                                  + sent->id);
            });
            std::this_thread::sleep_until(next);
        }
    });
    sleepFor(4000);
    if (trouble) {
        log.write("some responses of " + faulty.name() + " never end");
        faulty.beginFault(endlessShare);
        faulty.setEndless(true);
    }
    sleepFor(25000);
    isSending = false;
    sender.join();
    for (std::thread &client : clients) {
        client.join();
    }
    int lasting = 0;
    int unanswered = 0;
    std::map<int, int> statuses;
    for (const order &each : orders) {
        ++statuses[each.status];
        const bool lasts = each.tookMs >= routeTimeoutMs;
        const bool isUnanswered = each.tookMs > judgedMs;
        lasting += lasts ? 1 : 0;
        unanswered += isUnanswered ? 1 : 0;
        if (isUnanswered) {
            log.write("BROKEN: request " + each.id + " has no final answer "
                      + std::to_string(judgedMs) + " ms after it was sent");
        }
    }
    const bool isBroken = unanswered >= 8 && unanswered * 4 > lasting;
    std::ostringstream sum;
    sum << "requests " << orders.size() << ", answered";
    for (const auto &[status, count] : statuses) {
        sum << " " << status << ": " << count;
    }
    sum << "; lasting to the route's timeout: " << lasting
        << "; of these without a final answer half a second later: " << unanswered
        << "; answers of the faulty instance " << faulty.fault().first << ", without end "
        << faulty.fault().second;
    log.write(sum.str());
    std::cout << sum.str() << "\n";
    return isBroken ? 1 : 0;
}
