#include "test_fleet.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards property P6 in docs/design.md: an instance that is stopping receives no new requests, even
// if the stop began while a request waited for admission. A request that another instance may run
// is not rejected.
TEST_CASE("requests to a stopping daemon run on another instance", "[gateway]")
{
    for (const std::string service : {"standin", "photos"}) {
        for (const bool stopsDuringAdmission : {false, true}) {
            CAPTURE(service, stopsDuringAdmission);
            std::atomic<bool> isStopping = !stopsDuringAdmission;
            test_fleet fleet;
            auto &first = fleet.add("first", service, [&](test_fleet::daemon &added) {
                added.hooks.rejectsNewRequests = [&](steady_time) { return isStopping.load(); };
                added.hooks.admit = [&](auto &&...) -> admission_result {
                    isStopping = true;
                    return std::make_unique<admission_ticket>();
                };
            });
            auto &second = fleet.add("second", service);
            first.holdsLease = second.holdsLease = true;
            fleet.setPlacement("first", {"second"});
            const std::string uri = "/" + service + "/records/k";
            CHECK(call(first.callerServer->address(), "PUT", uri, "k").outcome == "run");
            CHECK(first.standin->history().empty());
            CHECK(second.standin->history().size() == 1);
            // A forwarded request is not forwarded again, so the response states that it did not
            // run.
            const auto forwarded =
                call(first.peerServer->address(), "GET", uri, "",
                     {"Persimmonrail-Request-Id: r", "Persimmonrail-Deadline-Ms: 1000"});
            CHECK(forwarded.status == 503);
            CHECK(forwarded.outcome == "not-run");
            CHECK(forwarded.reason == "draining");
        }
    }
}
