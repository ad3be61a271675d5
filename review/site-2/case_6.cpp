// Case 6: an instance is given keys on which another one is still at work. See review/6/claim.txt.
#include "site.h"

using namespace site;

namespace {

constexpr int requestIntervalMs = 25;
constexpr int workMs = 900;
constexpr int instanceCount = 4;
// Busy keys are close to one another, and which ones are busy changes.
constexpr int busyKeys = 200;
constexpr int busyShare = 40;
constexpr int busyTimeMs = 5000;

} // namespace

int main(int argc, char **argv)
{
    const bool trouble = hasTrouble();
    record log(argc > 1 ? argv[1] : "record.txt");
    log.write(trouble ? "with the disruption" : "without the disruption");
    const folder files;
    key_observer keys(log);
    store objects(hostAddress(0) + ":8309");
    objects.write("config", "main",
                  desiredState(route("/slots/", "idempotent", "berthdesk", 2000) + ","
                                   + route("/front/", "idempotent", "front", 1200),
                               "{\"name\":\"berthdesk\",\"healthCheckPath\":\"/health\","
                               "\"connectionLimit\":93,\"sharded\":true,\"warm\":\"3s\","
                               "\"grants\":\"call\"},{\"name\":\"front\",\"healthCheckPath\":"
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
        const bool isKeyed = service == "berthdesk";
        machines.push_back(std::make_unique<machine>(
            host_options{number, service, objects.address(), files.path(), values}));
        machine &host = *machines.back();
        instances.push_back(std::make_unique<instance>(
            instance_options{"i-" + service + std::to_string(number), service,
                             host.applicationAddress(), host.controlAddress(), 18, isKeyed, workMs,
                             isKeyed ? &keys : nullptr},
            log));
        host.startDaemon();
        instances.back()->startHeartbeats(1500);
    };
    for (int number = 1; number <= instanceCount; ++number) {
        add(number, "berthdesk");
    }
    add(instanceCount + 1, "front");
    const std::string caller = machines.back()->callerAddress();
    std::atomic<int> lastId{0};
    const auto makeId = [&lastId] {
        char id[20];
        std::snprintf(id, sizeof id, "%016x", ++lastId);
        return std::string(id);
    };
    const bool isServed = waitUntil([&] {
        const auto served = [&](int key) {
            return request(caller, "GET", "/slots/first", makeId(), key, 4000, "").status() == 200;
        };
        return served(100) && served(20000) && served(40000) && served(60000);
    }, 25000);
    if (!isServed) {
        std::cerr << "the site isn't served\n";
        return 2;
    }
    log.write("the site is served");

    std::atomic<int> sent{0};
    std::atomic<int> succeeded{0};
    std::vector<std::thread> clients;
    std::atomic<bool> isSending{true};
    // The first busy key; -1 while the traffic is even.
    std::atomic<int> firstBusy{-1};
    std::thread sender([&] {
        for (int i = 0; isSending; ++i) {
            const moment next = clock_type::now() + milliseconds(requestIntervalMs);
            const bool isBusy = firstBusy >= 0 && i * 37 % 100 < busyShare;
            const int key = isBusy ? firstBusy + i % busyKeys : i * 7919 % 65536;
            ++sent;
            clients.emplace_back([&, key, id = makeId()] {
                log.write("client sends request " + id + " for key " + std::to_string(key));
                const message answer = request(caller, "GET", "/slots/s", id, key, 4000, "");
                log.write("client gets " + std::to_string(answer.status()) + " for request " + id
                          + " " + answer.field("Server-Signature"));
                succeeded += answer.status() == 200 ? 1 : 0;
            });
            std::this_thread::sleep_until(next);
        }
    });
    sleepFor(5000);
    if (trouble) {
        log.write("two instances begin to send some of their answers twice");
        for (int i = 0; i < 2; ++i) {
            instances[i]->beginFault(0.03);
            instances[i]->setReleaseRepeated(true);
        }
    }
    sleepFor(10000);
    for (const int first : {1000, 18000, 6000, 23000, 11000, 28000}) {
        log.write("busy keys: " + std::to_string(first) + "-"
                  + std::to_string(first + busyKeys - 1));
        firstBusy = first;
        sleepFor(busyTimeMs);
    }
    isSending = false;
    sender.join();
    for (std::thread &client : clients) {
        client.join();
    }
    std::ostringstream sum;
    sum << "requests " << sent << ", answered with success " << succeeded
        << "; answers of the faulty instances while faulty " << instances[0]->fault().first << " and "
        << instances[1]->fault().first << ", sent twice " << instances[0]->fault().second << " and "
        << instances[1]->fault().second
        << "; requests at work on keys that another instance was given: " << keys.broken();
    log.write(sum.str());
    std::cout << sum.str() << "\n";
    return keys.broken() > 0 ? 1 : 0;
}
