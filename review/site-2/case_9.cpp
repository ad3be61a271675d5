// Case 9: a ping of another writer, and an instance that gets requests after its leaving was
// confirmed. See review/9/claim.txt.
#include "site.h"

using namespace site;

namespace {

constexpr int instanceCount = 5;
constexpr int orderIntervalMs = 20;
constexpr milliseconds drainTimeout{2000};
// How much longer than the drain timeout the instance serves.
constexpr int littleLongerMs = 10000;

struct order
{
    std::string id;
    int status = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const bool trouble = hasTrouble();
    record log(argc > 1 ? argv[1] : "record.txt");
    log.write(trouble ? "with the disruption" : "without the disruption");
    const folder files;
    store objects(hostAddress(0) + ":8309");
    objects.write("config", "main",
                  desiredState(route("/order/", "non_idempotent", "orderbook", 2500) + ","
                                   + route("/front/", "idempotent", "front", 1200),
                               "{\"name\":\"orderbook\",\"healthCheckPath\":\"/health\","
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
    for (int number = 1; number <= instanceCount; ++number) {
        add(number, "orderbook");
    }
    add(instanceCount + 1, "front");
    machine &host = *machines[0];
    instance &leaving = *instances[0];
    const std::string caller = machines.back()->callerAddress();
    std::atomic<int> lastId{0};
    const auto makeId = [&lastId] {
        char id[20];
        std::snprintf(id, sizeof id, "%016x", ++lastId);
        return std::string(id);
    };
    const bool isServed = waitUntil([&] {
        request(caller, "POST", "/order/first", makeId(), std::nullopt, 2500, "x");
        int serving = 0;
        for (const auto &each : instances) {
            serving += each->runs().empty() ? 0 : 1;
        }
        return serving == instanceCount;
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
                log.write("client sends order " + sent->id);
                const message answer =
                    request(caller, "POST", "/order/o", sent->id, std::nullopt, 5000, "order");
                sent->status = answer.status();
                log.write("client gets " + std::to_string(sent->status) + " for order " + sent->id
                          + " " + answer.field("Persimmonrail-Reason"));
            });
            std::this_thread::sleep_until(next);
        }
    });
    sleepFor(4000);
    if (trouble) {
        // Of another writer: the field "version" is missing.
        const std::string ping = "{\"service\":\"orderbook\",\"address\":\""
            + host.applicationAddress()
            + "\",\"zone\":\"z1\",\"slots\":18,\"state\":\"ready\",\"coldRemaining\":\"0ms\","
              "\"sequence\":1,\"born\":"
            + std::to_string(leaving.born() + 5000) + "}";
        log.write("another writer sends a ping without a version: " + ping + ", answered "
                  + std::to_string(leaving.tell("heartbeat", ping)));
    }
    sleepFor(5000);
    leaving.stopHeartbeats();
    const int confirmation = leaving.tell("heartbeat", leaving.reportBody("draining"));
    const moment confirmedAt = clock_type::now();
    log.write(leaving.name() + " reports that it drains, answered " + std::to_string(confirmation));
    const moment exitsAt = confirmedAt + drainTimeout + milliseconds(littleLongerMs);
    while (clock_type::now() + milliseconds(1500) < exitsAt) {
        sleepFor(1500);
        const int again = leaving.tell("heartbeat", leaving.reportBody("draining"));
        log.write(leaving.name() + " reports that it drains, answered " + std::to_string(again));
    }
    std::this_thread::sleep_until(exitsAt);
    const int departure =
        leaving.tell("deregister", "{\"born\":" + std::to_string(leaving.born()) + "}");
    log.write(leaving.name() + " deregisters, answered " + std::to_string(departure));
    log.write(leaving.name() + " exits");
    const moment exitAt = clock_type::now();
    leaving.end();
    sleepFor(1000);
    isSending = false;
    sender.join();
    for (std::thread &client : clients) {
        client.join();
    }
    const moment bound = confirmedAt + drainTimeout;
    int late = 0;
    int lost = 0;
    std::map<std::string, int> statusOf;
    std::map<int, int> statuses;
    for (const order &each : orders) {
        statusOf[each.id] = each.status;
        ++statuses[each.status];
    }
    for (const run &begun : leaving.runs()) {
        if (begun.begunAt <= bound || confirmation != 200) {
            continue;
        }
        ++late;
        const bool wasCut = begun.begunAt + milliseconds(290) > exitAt;
        lost += wasCut && statusOf[begun.id] != 200 ? 1 : 0;
        char text[120];
        std::snprintf(text, sizeof text, "BROKEN: order %s reached it %.3f s after the confirmation%s",
                      begun.id.c_str(),
                      std::chrono::duration<double>(begun.begunAt - confirmedAt).count(),
                      wasCut ? "; it was running when the instance exited" : "");
        log.write(std::string(text) + "; the client got " + std::to_string(statusOf[begun.id]));
    }
    std::ostringstream sum;
    sum << "orders " << orders.size() << ", answered";
    for (const auto &[status, count] : statuses) {
        sum << " " << status << ": " << count;
    }
    sum << "; reached the instance later than drainTimeout after the confirmation: "
        << late << "; of these cut off by its exit and not answered with success: " << lost;
    log.write(sum.str());
    std::cout << sum.str() << "\n";
    return late > 0 ? 1 : 0;
}
