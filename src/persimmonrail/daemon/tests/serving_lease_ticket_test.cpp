#include "persimmonrail/daemon/serving_lease_ticket.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using std::chrono::seconds;

// Guards against three failures: a request is rejected although its lease was renewed while the
// request waited for admission; a request is cancelled although its lease is renewed while the
// partition drains; a request continues after its lease was lost.
TEST_CASE("a ticket returns the current end of the lease", "[daemon]")
{
    const steady_time now{std::chrono::hours(1)};
    serving_table table;
    table.publish("a/0", {0, 10}, 3, now + seconds(1), now);
    const serving_lease_ticket ticket(table, *table.begin("a", 5, now));
    table.publish("a/0", {0, 10}, 3, now + seconds(2), now + seconds(1));
    CHECK(ticket.leaseEnd() == now + seconds(2));
    table.stop("a/0");
    table.renew("a/0", 3, now + seconds(3));
    CHECK(ticket.leaseEnd() == now + seconds(3));
    CHECK_FALSE(table.begin("a", 5, now + seconds(2)));
    table.renew("a/0", 2, now + seconds(9));
    CHECK(ticket.leaseEnd() == now + seconds(3));
    table.publish("a/0", {0, 10}, 5, now + seconds(9), now + seconds(4));
    CHECK(ticket.leaseEnd() < now);
}
