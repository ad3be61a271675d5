#include "persimmonrail/proxy/large_response_queue.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

large_response_queue_options longLimits()
{
    large_response_queue_options options;
    options.maxWait = 20s;
    options.maxPermitTime = 20s;
    return options;
}

} // namespace

// Several archives of photographs leave a host and fill its link.
TEST_CASE("large responses are sent one after the other", "[relay]")
{
    large_response_queue queue(longLimits());
    std::atomic<int> concurrent{0};
    std::atomic<int> maxConcurrent{0};
    std::atomic<int> served{0};
    constexpr int count = 12;
    std::vector<std::thread> transfers;
    transfers.reserve(count);
    for (int i = 0; i < count; ++i) {
        transfers.emplace_back([&] {
            const auto permit = queue.acquire();
            if (permit == nullptr) {
                return;
            }
            maxConcurrent = std::max(maxConcurrent.load(), ++concurrent);
            std::this_thread::yield();
            --concurrent;
            ++served;
        });
    }
    for (std::thread &transfer : transfers) {
        transfer.join();
    }
    CHECK(maxConcurrent == 1);
    CHECK(served == count);
}

TEST_CASE("small responses need no permit", "[relay]")
{
    const large_response_queue queue;
    CHECK_FALSE(queue.isLarge(1500));
    CHECK(queue.isLarge(90'000));
}

// Guards against responses that wait forever behind one whose reader has disconnected.
TEST_CASE("a stuck transfer delays others for a bounded time", "[relay]")
{
    large_response_queue_options options = longLimits();
    options.maxWait = 10ms;
    options.maxPermitTime = 0ms;
    large_response_queue queue(options);
    auto stuck = queue.acquire();
    REQUIRE(stuck != nullptr);
    CHECK(stuck->hasExpired(std::chrono::steady_clock::now()));
    CHECK(queue.acquire() == nullptr);
    stuck.reset();
    CHECK(queue.acquire() != nullptr);
}
