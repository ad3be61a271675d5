// Operators' actions on a running site: configuration changes and planned stops.
#include "process/load.h"

#include <Poco/JSON/Array.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace process_tests;

namespace {

std::string replaced(std::string text, const std::string &what, const std::string &with)
{
    const size_t at = text.find(what);
    REQUIRE(at != std::string::npos);
    return text.replace(at, what.size(), with);
}

std::string exampleDocument()
{
    return readFile(std::string(EXAMPLE_DIR) + "/haulbook.json");
}

uint64_t versionOf(const site &all, const std::string &key)
{
    return parseJson(call("GET", all.platform(), "/v1/objects/" + key).body)
        ->getValue<uint64_t>("version");
}

} // namespace

// Guards against a lost update: both operators believing that their document is in force.
TEST_CASE("Of two operators who apply a document at once exactly one wins", "[operations]")
{
    site all;
    for (int round = 0; round < 5; ++round) {
        const auto version = std::to_string(versionOf(all, "config/haulbook"));
        std::vector<std::unique_ptr<child_process>> operators;
        std::vector<std::string> texts;
        for (int i = 0; i < 2; ++i) {
            texts.push_back(replaced(exampleDocument(), "\"timeout_ms\": 1000",
                                     "\"timeout_ms\": " + std::to_string(1001 + 2 * round + i)));
            const auto file = all.dataFile("operator-" + std::to_string(i), texts.back());
            operators.push_back(std::make_unique<child_process>(
                "persimmonctl",
                std::vector<std::string>{"apply", file, "--platform-address", all.platform(),
                                         "--expect-version", version},
                file + ".out"));
        }
        int winner = -1;
        for (int i = 0; i < 2; ++i) {
            const auto code = operators[static_cast<size_t>(i)]->awaitExit(2 * waitBound);
            const auto output = operators[static_cast<size_t>(i)]->output();
            CAPTURE(round, i, output);
            REQUIRE(code.has_value());
            if (code == 0) {
                CHECK(winner == -1);
                winner = i;
            } else {
                CHECK(output.find("conflict") != std::string::npos);
            }
        }
        REQUIRE(winner != -1);
        CHECK(all.object("config/haulbook") == texts[static_cast<size_t>(winner)]);
        CHECK(parseJson(all.object("accepted/haulbook"))->getValue<std::string>("document")
              == texts[static_cast<size_t>(winner)]);
    }
}

// Guards against an invalid document taking effect, and against verdicts without a place.
TEST_CASE("An invalid document is rejected with its errors and changes nothing", "[operations]")
{
    site all;
    const auto accepted = all.object("accepted/haulbook");
    auto text = replaced(exampleDocument(), "\"rank\": \"crew\"", "\"rank\": \"nobody\"");
    text = replaced(text, "\"floor\": 0.4", "\"floor\": 7");
    // persimmonctl would refuse the file, so it is stored directly.
    const auto version = versionOf(all, "config/haulbook");
    REQUIRE(call("PUT", all.platform(),
                 "/v1/objects/config/haulbook?version=" + std::to_string(version), text)
                .status
            == 200);
    REQUIRE(awaitTrue([&] {
        return parseJson(all.object("status/haulbook"))->optValue<std::string>("state", "")
            == "rejected";
    }));
    const auto status = all.object("status/haulbook");
    CAPTURE(status);
    CHECK(status.find("operations") != std::string::npos);
    CHECK(status.find("floor") != std::string::npos);
    CHECK(parseJson(status)->getArray("errors")->size() >= 2);
    CHECK(all.object("accepted/haulbook") == accepted);
    CHECK(site::awaitServed(all.instance("ledger-0"), site::probeKeys()));
    // Keys issued before the tenure of the owner are refused, so each attempt has a new one.
    CHECK(awaitTrue([&] {
        return call("POST", all.instance("ledger-0").callers(), "/ledger/credits/parish-1",
                    "cents=1", newIdempotencyKey())
            .ran();
    }));
    // A corrected document is accepted afterwards.
    const auto file = all.dataFile(
        "corrected", replaced(exampleDocument(), "\"timeout_ms\": 1000", "\"timeout_ms\": 1001"));
    child_process apply("persimmonctl", {"apply", file, "--platform-address", all.platform()},
                        file + ".out");
    CHECK(apply.awaitExit(2 * waitBound) == 0);
}

// Guards against a planned stop that cuts requests, keeps keys unserved or leaves its member
// record.
TEST_CASE("SIGTERM under load cuts no request and hands over all keys", "[operations]")
{
    site all;
    caller_load load(all);
    REQUIRE(load.awaitRuns(200));
    auto &stopped = all.instance(site::ownerOf(*all.instances().front(), "basin-1"));
    stopped.daemon->signal(SIGTERM);
    CHECK(stopped.daemon->awaitExit(2 * waitBound) == 0);
    load.avoid(stopped.name);
    CHECK(all.object("member/" + stopped.name).empty());
    CHECK(site::awaitServed(all.instance("ledger-0"), site::probeKeys()));
    CHECK(load.awaitRuns(200));
    const auto failures = load.finish();
    for (const auto &failure : failures) {
        UNSCOPED_INFO(failure);
    }
    CHECK(failures.empty());
    CAPTURE(all.folder(), load.summary());
    CHECK(load.cutRequests() == 0);
    const auto records = all.placements("haulbook");
    CHECK(std::none_of(records.begin(), records.end(),
                       [&](const auto &record) { return record.owner.name == stopped.name; }));
    WARN("graceful stop, load: " << load.summary());
}
