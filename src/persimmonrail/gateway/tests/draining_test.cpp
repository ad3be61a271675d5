#include "test_fleet.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards P6: a stopping instance gets no new work, even if the stop began while a request waited
// for admission, and a request that another instance may run is not refused to its caller.
TEST_CASE("a stopping daemon leaves requests to others", "[gateway]")
{
    for (const std::string service : {"standin", "photos"}) {
        for (const bool stopsDuringAdmission : {false, true}) {
            CAPTURE(service, stopsDuringAdmission);
            std::atomic<bool> isStopping = !stopsDuringAdmission;
            test_fleet fleet;
            auto &first = fleet.add("first", service, [&](test_fleet::daemon &added) {
                added.hooks.refusesNewWork = [&](steady_time) { return isStopping.load(); };
                added.hooks.admit = [&](auto &&...) -> admission_result {
                    isStopping = true;
                    return std::make_unique<admission_ticket>();
                };
            });
            auto &second = fleet.add("second", service);
            first.holdsLease = second.holdsLease = true;
            fleet.place("first", {"second"});
            const std::string uri = "/" + service + "/records/k";
            CHECK(call(first.callers->address(), "PUT", uri, "k").outcome == "run");
            CHECK(first.standin->history().empty());
            CHECK(second.standin->history().size() == 1);
            // Without another instance the caller learns that the request did not run.
            const auto alone =
                call(first.peers->address(), "GET", uri, "",
                     {"Persimmonrail-Request-Id: r", "Persimmonrail-Deadline-Ms: 1000"});
            CHECK(alone.status == 503);
            CHECK(alone.outcome == "not-run");
            CHECK(alone.reason == "draining");
        }
    }
}
