// OWNER: a daemon is killed while its write of a move has no answer yet; the store carries the write
// out some seconds later.
#include "site/site.h"

#include <atomic>

using namespace review;
using namespace std::chrono_literals;

namespace {

// Within the 1 to 6 s of the pages.
constexpr milliseconds writeDelay{4500};
constexpr milliseconds work{400};
constexpr int clients = 8;

instance_options optionsAt(const machine &host, const std::string &id)
{
    instance_options options;
    options.id = id;
    options.service = host.service();
    options.address = host.instanceAddress();
    options.control = host.control();
    options.work = work;
    return options;
}

// Requests keys all over, one after the other, from the daemon of one machine.
void runClient(event_record &record, const std::string &daemon, int number,
               const std::atomic<bool> &isStopping)
{
    for (int i = 0; !isStopping && i < 200; ++i) {
        const int key = (number * 8192 + i * 977) % 65536;
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
        callDaemon(record, daemon, id, "/haulbook/x", key, 2s);
    }
}

} // namespace

int main(int, char **argv)
{
    event_record record(argv[1]);
    store platform(record);
    platform.write("config", "main", desiredState({{"haulbook"}}));
    instance_history history;
    machine hostA("a", "z1", "haulbook", platform.address(), record);
    machine hostB("b", "z2", "haulbook", platform.address(), record);
    hostA.startDaemon();
    auto instanceA = std::make_unique<instance>(optionsAt(hostA, "i-a"), record, history);
    require(record, waitUntil([&] { return hostA.isReady() && instanceA->holdsAny(); }, 20s),
            "instance a holds keys");
    std::atomic<bool> isStopping{false};
    std::vector<std::thread> threads;
    for (int number = 0; number < clients; ++number) {
        threads.emplace_back([&, number] { runClient(record, hostA.caller(), number, isStopping); });
    }
    sleepFor(2s);
    std::atomic<bool> hasMoveBegun{false};
    std::atomic<bool> isLost{false};
    platform.setWriteHook([&](const std::string &kind, const std::string &name,
                              const std::string &specification) -> std::optional<milliseconds> {
        const bool isMove = kind == "fleet" && name == "keys.haulbook"
            && specification.find("i-b/") != std::string::npos;
        if (!isMove || hasMoveBegun.exchange(true) || !hasTrouble()) {
            return std::nullopt;
        }
        isLost = true;
        return writeDelay;
    });
    // An empty instance is added; the owner moves keys to it.
    hostB.startDaemon();
    auto instanceB = std::make_unique<instance>(optionsAt(hostB, "i-b"), record, history);
    require(record, waitUntil([&] { return hasMoveBegun.load(); }, 20s), "a move is written");
    if (isLost) {
        record.write("DISRUPTION: daemon a is killed while its write has no answer");
        hostA.killAndRestartDaemon();
    }
    sleepFor(writeDelay + 4s);
    require(record, instanceB->holdsAny(), "instance b holds keys in the end");
    isStopping = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    instanceA.reset();
    instanceB.reset();
    checkOwner(record, history);
    return finish(record);
}
