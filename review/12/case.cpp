// Case 12: the store's response to one waiting watch of the desired state is lost. The daemon goes
// on with the older desired state although the store responds to all later calls.
#include "../site-3/site.h"

#include <iostream>

using namespace review;

namespace {

// Bounds of the settings.
constexpr milliseconds contact{3000};
constexpr milliseconds configApply{2000};
constexpr milliseconds maxStretch{5000};
constexpr milliseconds observationTime{6000};

std::string desiredState(const std::string &version, const std::string &service)
{
    return R"({"version":")" + version
        + R"(","routes":[{"name":"berths","host":"berths.example","pathPrefix":"/berths/",)"
          R"("kind":"idempotent","timeout":"2000ms","targetLatency":"500ms","priority":0,)"
          R"("service":")"
        + service
        + R"(","maxAttempts":2}],"services":[{"name":"berthdesk","healthCheckPath":"/health",)"
          R"("connectionLimit":93},{"name":"berthplan","healthCheckPath":"/health",)"
          R"("connectionLimit":93}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
          R"("headerTimeout":"3000ms","idleTimeout":"15000ms"}})";
}

message view(const std::string &id)
{
    return makeRequest("GET", "/berths/today", "berths.example",
                       {{"Request-Id", id}, {"Request-Timeout-Ms", "4000"}}, "");
}

} // namespace

int main(int, char **arguments)
{
    record log(arguments[1]);
    store platform(log);
    platform.put("config", "main", desiredState("00000007", "berthdesk"));
    std::vector<std::unique_ptr<instance>> instances;
    std::vector<std::unique_ptr<machine>> machines;
    for (const char *const service : {"berthdesk", "berthdesk", "berthplan", "berthplan"}) {
        const std::string number = std::to_string(instances.size());
        instance::options settings;
        settings.id = "i-" + number;
        settings.service = service;
        settings.zone = "z" + number;
        instances.push_back(std::make_unique<instance>(settings, log));
        machines.push_back(std::make_unique<machine>("m" + number, platform.address(),
                                                     *instances.back(), temporaryFolder(), log));
    }
    int sent = 0;
    const auto send = [&](const machine &at) {
        const std::string id = at.name() + "-" + std::to_string(++sent);
        const message answer = exchange(at.outbound(), view(id), milliseconds(5000));
        for (const auto &each : instances) {
            for (const run &one : each->runs()) {
                if (one.requestId == id) {
                    log.write("answer to " + id + " sent to " + at.name() + ": "
                              + std::to_string(answer.status()) + ", run by "
                              + each->settings().service);
                    return each->settings().service;
                }
            }
        }
        log.write("answer to " + id + " sent to " + at.name() + ": "
                  + std::to_string(answer.status()) + ", not run");
        return std::string();
    };
    for (const auto &each : machines) {
        if (!waitUntil([&] { return each->isReady() && send(*each) == "berthdesk"; },
                       milliseconds(20000))) {
            std::cerr << "the site did not start\n";
            return notRun;
        }
    }
    // By now each daemon waits for the next change of the desired state.
    std::this_thread::sleep_for(milliseconds(1000));
    std::atomic<int> lost{0};
    if (hasTrouble()) {
        platform.loseResponses([&](const message &call) {
            return call.word(1).rfind("/objects/config?watch=", 0) == 0 && lost.fetch_add(1) == 0;
        });
    }
    platform.put("config", "main", desiredState("00000009", "berthplan"));
    const time_point confirmedAt = clock::now();
    std::this_thread::sleep_for(milliseconds(500));
    platform.loseResponses({});
    log.write("no response is lost from here on");
    const time_point from = confirmedAt + contact + configApply + maxStretch;
    std::this_thread::sleep_until(from);
    log.write("requests from here on were sent later than configApply, maxStretch and contact");
    int counted = 0;
    int old = 0;
    while (clock::now() < from + observationTime) {
        for (const auto &each : machines) {
            const std::string service = send(*each);
            counted += service.empty() ? 0 : 1;
            old += service == "berthdesk" ? 1 : 0;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    log.write("CONFIG: requests run: " + std::to_string(counted)
              + ", by the old service: " + std::to_string(old));
    return counted < 50 ? notRun : old > 0 ? broken : held;
}
