#include "persimmonrail/router/store_call_counter.h"

#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/fleet/quarantine_record.h"

#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

using namespace persimmonrail;

// Guards against calls that are counted for the wrong object, and against a metric with one series
// for each key.
TEST_CASE("calls to the store are counted by kind and object", "[router]")
{
    std::vector<std::string> calls;
    object_api store;
    store.get = [](const std::string &) { return absl::UnavailableError("down"); };
    store.put = [](const std::string &, uint64_t, const std::string &) { return uint64_t{7}; };
    store.remove = [](const std::string &, uint64_t) { return uint64_t{8}; };
    store.list = [](const std::string &) { return object_list{}; };
    store.watch = [](const std::string &, uint64_t, milliseconds) { return object_list{}; };
    const object_api counted =
        countStoreCalls(store, routerObjects("wishes/", ""), [&](auto call, auto object) {
            calls.push_back(absl::StrCat(std::string(call), " ", std::string(object)));
        });
    CHECK(absl::IsUnavailable(counted.get(placementKey("s")).status()));
    CHECK(*counted.put(placementKey("s", 3), 0, "") == 7);
    CHECK(counted.put(memberKey("a"), 5, "").ok());
    CHECK(*counted.remove(quarantineKey("s"), 5) == 8);
    CHECK(counted.list("fleet/").ok());
    CHECK(counted.watch("wishes/main", 1, milliseconds(1)).ok());
    CHECK(counted.get("elsewhere/x").status().code() == absl::StatusCode::kUnavailable);
    CHECK(calls
          == std::vector<std::string>{"get placement", "create placement", "update member",
                                      "delete quarantine", "list fleet", "watch desired-state",
                                      "get other"});
}
