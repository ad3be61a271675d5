#include "persimmonrail/router/move_interval.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

// Guards against a service with many owners whose moves begin faster than slow hosts can write the
// record: owners lost up to 16 writes in a row, and their released keys were unserved meanwhile.
TEST_CASE("the owners of one service together begin at most five moves a second", "[router]")
{
    for (size_t owners = 1; owners <= 100; ++owners) {
        for (const bool isOverloaded : {false, true}) {
            CAPTURE(owners, isOverloaded);
            const milliseconds interval = minMoveInterval(owners, isOverloaded);
            CHECK(interval >= 200ms * owners);
            CHECK(interval >= (isOverloaded ? 1000ms : 4000ms));
        }
    }
    CHECK(minMoveInterval(4, true) == 1000ms);
    CHECK(minMoveInterval(4, false) == 4000ms);
    CHECK(minMoveInterval(30, true) == 6000ms);
}
