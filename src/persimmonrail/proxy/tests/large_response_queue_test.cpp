#include "persimmonrail/proxy/large_response_queue.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

large_response_queue_options patient()
{
    large_response_queue_options options;
    options.maxWait = 20s;
    options.maxPermitTime = 20s;
    return options;
}

} // namespace

// Load pattern: several archives of photographs leave a host whose link they fill.
TEST_CASE("large answers leave one after the other", "[relay]")
{
    large_response_queue queue(patient());
    std::atomic<int> inside{0};
    std::atomic<int> most{0};
    std::atomic<int> served{0};
    constexpr int count = 12;
    std::vector<std::thread> transfers;
    transfers.reserve(count);
    for (int i = 0; i < count; ++i) {
        transfers.emplace_back([&] {
            const auto permit = queue.enter();
            if (permit == nullptr) {
                return;
            }
            most = std::max(most.load(), ++inside);
            std::this_thread::yield();
            --inside;
            ++served;
        });
    }
    for (std::thread &transfer : transfers) {
        transfer.join();
    }
    CHECK(most == 1);
    CHECK(served == count);
}

TEST_CASE("small answers take no turn", "[relay]")
{
    const large_response_queue queue;
    CHECK_FALSE(queue.isLarge(1500));
    CHECK(queue.isLarge(90'000));
}

// Guards against answers that wait for one whose reader is gone.
TEST_CASE("a transfer that is stuck holds up others for a bounded time", "[relay]")
{
    large_response_queue_options options = patient();
    options.maxWait = 10ms;
    options.maxPermitTime = 0ms;
    large_response_queue queue(options);
    auto stuck = queue.enter();
    REQUIRE(stuck != nullptr);
    CHECK(stuck->isOver(std::chrono::steady_clock::now()));
    CHECK(queue.enter() == nullptr);
    stuck.reset();
    CHECK(queue.enter() != nullptr);
}
