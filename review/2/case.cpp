// OWNER: a ping of another writer, with a service that isn't named anywhere, arrives at a daemon.
#include "site/site.h"

#include "persimmonrail/http/http_client.h"

#include <absl/strings/str_cat.h>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int requests = 30;
// One ping arrives at each of these machines, some seconds apart.
constexpr int pingedMachines[] = {0, 2};

void sendForeignPing(event_record &record, const std::string &control, int index)
{
    const std::string ping =
        absl::StrCat(R"({"service":"unnamed1","address":")", freeAddress(),
                     R"(","zone":"z1","version":"v1","slots":9,"state":"ready",)",
                     R"("coldRemaining":"0ms","sequence":1,"born":)", unixMilliseconds(), "}");
    persimmonrail::http_client client(std::make_shared<persimmonrail::connection_pool>());
    const auto response = persimmonrail::simpleRequest(
        client, control, "POST",
        absl::StrCat("/rpc?call=instances.heartbeat&of=i-other-", index), ping,
        std::chrono::steady_clock::now() + 1s);
    record.write(absl::StrCat("DISRUPTION: a ping of another writer, service unnamed1, at machine m",
                              index, " -> ", response.ok() ? response->status : 0));
}

} // namespace

int main(int, char **argv)
{
    event_record record(argv[1]);
    store platform(record);
    platform.write("config", "main", desiredState({{"haulbook"}}));
    instance_history history;
    keyed_service service("haulbook", 4, 100ms, platform, record, history);
    sleepFor(4s);
    for (const int index : pingedMachines) {
        if (hasTrouble()) {
            sendForeignPing(record, service.host(index).control(), index);
        }
        // Shows which keys are served: the requests go over all keys.
        for (int i = 0; i < requests; ++i) {
            callDaemon(record, service.host(1).caller(), absl::StrCat("after-", index, "-", i),
                       "/haulbook/x", (i * 2185) % 65536, 1s);
            sleepFor(200ms);
        }
    }
    service.endAll();
    checkOwner(record, history);
    return finish(record);
}
