#include "persimmonrail/http/response_order.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against responses in another order than the requests, and against bytes that count as held
// after they were written.
TEST_CASE("held bytes are taken in the order of the requests", "[http]")
{
    held_bytes shared(100);
    response_order order(100, shared);
    const auto first = order.add(false);
    const auto second = order.add(false);
    REQUIRE(order.tryHold(*second, "second"));
    second->isFinished = true;
    CHECK(order.isNext(*first));
    CHECK(order.takeHeld().empty());
    CHECK_FALSE(order.removeFinished());
    first->isFinished = true;
    CHECK(order.removeFinished());
    CHECK(order.isNext(*second));
    CHECK_FALSE(order.removeFinished());
    CHECK(order.takeHeld() == "second");
    CHECK(shared.used() == 6);
    order.releaseTaken(6);
    CHECK(shared.used() == 0);
    CHECK(order.removeFinished());
    CHECK(order.size() == 0);
}

// Guards against memory without a bound for a client that reads nothing, and for many clients.
TEST_CASE("held bytes are bounded for each connection and for the server", "[http]")
{
    struct
    {
        const char *name;
        size_t sharedMax;
        size_t usedByOthers;
        size_t connectionMax;
        size_t bytes;
        bool isHeld;
    } const table[] = {
        {"within both", 100, 0, 50, 50, true},
        {"above the connection's", 100, 0, 50, 51, false},
        {"above the server's", 100, 60, 50, 41, false},
        {"rest of the server's", 100, 60, 50, 40, true},
    };
    for (const auto &row : table) {
        CAPTURE(row.name);
        held_bytes shared(row.sharedMax);
        REQUIRE(shared.tryReserve(row.usedByOthers));
        {
            response_order order(row.connectionMax, shared);
            order.add(false);
            const auto second = order.add(false);
            CHECK(order.tryHold(*second, std::string(row.bytes, 'x')) == row.isHeld);
            CHECK(shared.used() == row.usedByOthers + (row.isHeld ? row.bytes : 0));
        }
        CHECK(shared.used() == row.usedByOthers);
    }
}

// Guards against requests that run although the client counts them as not read.
TEST_CASE("a closing response cancels the requests behind it", "[http]")
{
    held_bytes shared(100);
    response_order order(100, shared);
    const auto first = order.add(false);
    const auto second = order.add(false);
    const auto third = order.add(false);
    REQUIRE(order.tryHold(*third, "third"));
    const auto cancelled = order.closeAfter(*second);
    CHECK(cancelled == std::vector<response_order::slot_pointer>{third});
    CHECK(third->isCancelled);
    CHECK_FALSE(second->isCancelled);
    CHECK(shared.used() == 0);
    CHECK(order.size() == 2);
    CHECK(order.add(false) == nullptr);
    // A cancelled request may ask to close the connection as well.
    CHECK(order.closeAfter(*third).empty());
    CHECK(order.closeAfter(*first) == std::vector<response_order::slot_pointer>{second});
}

// Guards against further requests behind one that closes the connection.
TEST_CASE("nothing is added behind the last request", "[http]")
{
    held_bytes shared(100);
    response_order order(100, shared);
    const auto last = order.add(true);
    CHECK(order.isClosing());
    CHECK(order.isLast(*last));
    CHECK(order.add(false) == nullptr);
}
