#include "persimmonrail/relay/transfer_turns.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

transfer_turns_options patient()
{
    transfer_turns_options options;
    options.longestWait = 20s;
    options.longestTurn = 20s;
    return options;
}

} // namespace

// Load pattern: several archives of photographs leave a host whose link they fill.
TEST_CASE("large answers leave one after the other", "[relay]")
{
    transfer_turns turns(patient());
    std::atomic<int> inside{0};
    std::atomic<int> most{0};
    std::atomic<int> served{0};
    constexpr int count = 12;
    std::vector<std::thread> transfers;
    transfers.reserve(count);
    for (int i = 0; i < count; ++i) {
        transfers.emplace_back([&] {
            const auto turn = turns.enter();
            if (turn == nullptr) {
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
    const transfer_turns turns;
    CHECK_FALSE(turns.isLarge(1500));
    CHECK(turns.isLarge(90'000));
}

// Guards against answers that wait for one whose reader is gone.
TEST_CASE("a transfer that is stuck holds up others for a bounded time", "[relay]")
{
    transfer_turns_options options = patient();
    options.longestWait = 10ms;
    options.longestTurn = 0ms;
    transfer_turns turns(options);
    auto stuck = turns.enter();
    REQUIRE(stuck != nullptr);
    CHECK(stuck->isOver(std::chrono::steady_clock::now()));
    CHECK(turns.enter() == nullptr);
    stuck.reset();
    CHECK(turns.enter() != nullptr);
}
