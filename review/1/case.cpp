// OWNER: an instance crashes and starts again at its address under a new id, as on any day. While it
// is down, no request comes for its keys.
#include "site/site.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int instances = 4;
constexpr int crashes = 6;
// Within the 4.5 s of the site file.
constexpr milliseconds downTime{2000};
constexpr milliseconds heartbeat{870};

} // namespace

int main(int, char **argv)
{
    event_record record(argv[1]);
    store platform(record);
    platform.write("config", "main", desiredState({{"haulbook"}}));
    instance_history history;
    keyed_service service("haulbook", instances, 100ms, platform, record, history);
    for (int i = 1; i <= crashes; ++i) {
        const int index = i % instances;
        sleepFor(4s);
        require(record, waitUntil([&] { return service.at(index).holdsAny(); }, 20s),
                "the instance holds keys");
        if (hasTrouble()) {
            record.write("DISRUPTION: the instance of machine m" + std::to_string(index)
                         + " crashes");
            service.crash(index);
            sleepFor(downTime);
            // The first heartbeats of the new boots lie evenly over the heartbeat's period.
            service.boot(index, "i-" + std::to_string(index) + "-" + std::to_string(i),
                         heartbeat * (i - 1) / crashes);
        }
    }
    sleepFor(6s);
    service.endAll();
    checkOwner(record, history);
    return finish(record);
}
