// Case 7: an order that its instance runs is answered 503. See review/7/claim.txt.
#include "site.h"

using namespace site;

namespace {

// No divisor of the time between two releases, so that orders meet each phase of them.
constexpr int orderIntervalMs = 79;
constexpr int instanceCount = 4;
// Keys of the first instance that are moved to the one that is added.
constexpr int firstKey = 9000;
constexpr int calmMs = 15000;
// How long before the instance is added the first one begins to send some of its answers twice.
constexpr int faultLeadMs = 25000;
// Releases that are carried out late, and how long after the grant that follows. The daemon renews a
// grant after 750 ms or a little more.
constexpr int lateReleases = 8;
constexpr milliseconds lateness{700};

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
                  desiredState(route("/order/", "non_idempotent", "shop", 1200) + ","
                                   + route("/front/", "idempotent", "front", 1200),
                               "{\"name\":\"shop\",\"healthCheckPath\":\"/health\","
                               "\"connectionLimit\":580,\"sharded\":true,\"warm\":\"2s\","
                               "\"grants\":\"call\"},{\"name\":\"front\",\"healthCheckPath\":"
                               "\"/health\",\"connectionLimit\":580}"));
    const std::map<std::string, std::string> values = {
        {"heartbeat", "870ms"},           {"bounds.maxHold", "10000ms"},
        {"bounds.drainTimeout", "2500ms"}, {"bounds.gracePeriod", "6s"},
        {"bounds.retryBudgetRatio", "0.2"}, {"bounds.retryBudgetSlack", "212"},
        {"bounds.retryWindow", "10s"},    {"limits.linkMbps", "200.0"},
        {"limits.cpuShare", "0.5"},       {"limits.cpuCores", "1"},
        {"limits.memoryMb", "512"},
        {"contracts", "base,drain,config,cost,retry,recover,health,pool,own,platform"}};
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::unique_ptr<instance>> instances;
    const auto add = [&](int number, const std::string &service) {
        machines.push_back(std::make_unique<machine>(
            host_options{number, service, objects.address(), files.path(), values}));
        machine &host = *machines.back();
        instances.push_back(std::make_unique<instance>(
            instance_options{"i-" + service + std::to_string(number), service,
                             host.applicationAddress(), host.controlAddress(), 6,
                             service == "shop", 5},
            log));
        host.startDaemon();
        instances.back()->startHeartbeats(870);
    };
    for (int number = 1; number <= instanceCount; ++number) {
        add(number, "shop");
    }
    add(instanceCount + 1, "front");
    instance &owner = *instances[0];
    const std::string caller = machines.back()->callerAddress();
    int nextId = 0;
    const auto makeId = [&nextId] {
        char id[20];
        std::snprintf(id, sizeof id, "%016x", ++nextId);
        return std::string(id);
    };
    const bool isServed = waitUntil([&] {
        const auto served = [&](int key) {
            return request(caller, "POST", "/order/first", makeId(), key, 2500, "x").status()
                == 200;
        };
        return owner.holds(firstKey) && served(firstKey) && served(60000);
    }, 25000);
    if (!isServed) {
        std::cerr << "the site isn't served\n";
        return 2;
    }
    log.write("the site is served");

    std::mutex mutex;
    std::deque<order> orders;
    std::vector<std::thread> clients;
    const auto sendOrder = [&](int index) {
        const int key = firstKey + index % 1000;
        order *sent = nullptr;
        std::string id;
        {
            const std::lock_guard lock(mutex);
            id = makeId();
            orders.emplace_back();
            orders.back().id = id;
            sent = &orders.back();
        }
        clients.emplace_back([&, sent, id, key] {
            log.write("client sends order " + id + " for key " + std::to_string(key));
            const message answer =
                request(caller, "POST", "/order/" + std::to_string(key), id, key, 2500, "order");
            sent->status = answer.status();
            log.write("client gets " + std::to_string(sent->status) + " for order " + id + " "
                      + answer.field("Server-Signature") + " " + answer.body.substr(0, 40));
        });
    };
    int index = 0;
    const auto sendFor = [&](int ms) {
        const moment end = clock_type::now() + milliseconds(ms);
        while (clock_type::now() < end) {
            const moment next = clock_type::now() + milliseconds(orderIntervalMs);
            sendOrder(index++);
            std::this_thread::sleep_until(next);
        }
    };
    sendFor(calmMs);
    if (trouble) {
        owner.beginFault(0.03);
    }
    sendFor(faultLeadMs);
    if (trouble) {
        auto releases = std::make_shared<int>(0);
        owner.setOrderRule([releases](bool isRelease) -> std::optional<milliseconds> {
            return isRelease && ++*releases <= lateReleases ? std::optional(lateness)
                                                            : std::nullopt;
        });
        owner.setRepeatRule([](milliseconds sinceGrant) { return sinceGrant.count() >= 0; });
    }
    log.write("an empty instance is added");
    add(instanceCount + 2, "shop");
    sendFor(46000);
    for (std::thread &client : clients) {
        client.join();
    }
    int broken = 0;
    int twice = 0;
    std::map<std::string, int> runs;
    for (const auto &each : instances) {
        for (const run &begun : each->runs()) {
            ++runs[begun.id];
        }
    }
    std::map<int, int> statuses;
    for (const order &each : orders) {
        ++statuses[each.status];
        twice += runs[each.id] > 1 ? 1 : 0;
        const bool isPromise = each.status == 503 || each.status == 429 || each.status == 408
            || each.status == 421;
        if (isPromise && runs[each.id] > 0) {
            ++broken;
            log.write("BROKEN: order " + each.id + " was run and answered "
                      + std::to_string(each.status));
        }
    }
    std::ostringstream sum;
    sum << "orders " << orders.size() << ", answered";
    for (const auto &[status, count] : statuses) {
        sum << " " << status << ": " << count;
    }
    sum << "; run and answered with a promise: " << broken << "; run twice under one id: " << twice
        << "; answers of the owner while faulty " << owner.fault().first << ", sent twice "
        << owner.fault().second << ", as an extra response " << owner.repeated() << "; its 421 "
        << owner.rejections() << "; orders to it " << owner.orders() << ", carried out late "
        << owner.lateOrders();
    log.write(sum.str());
    std::cout << sum.str() << "\n";
    return broken + twice > 0 ? 1 : 0;
}
