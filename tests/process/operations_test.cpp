// Tests operators' actions on a running site: configuration changes and planned stops.
#include "process/load.h"

#include <Poco/JSON/Array.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace process_tests;

namespace {

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    const size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::string exampleDocument()
{
    return readFile(std::string(EXAMPLE_DIR) + "/haulbook.json");
}

uint64_t versionOf(const site &testSite, const std::string &key)
{
    return parseJson(call("GET", testSite.platform(), "/v1/objects/" + key).body)
        ->getValue<uint64_t>("version");
}

} // namespace

// Guards against a lost update: two concurrent conditional writes must not both report success.
TEST_CASE("Exactly one of two operators who apply a document at the same time succeeds",
          "[operations]")
{
    site testSite;
    for (int round = 0; round < 5; ++round) {
        const auto version = std::to_string(versionOf(testSite, "config/haulbook"));
        std::vector<std::unique_ptr<child_process>> operators;
        std::vector<std::string> texts;
        for (int i = 0; i < 2; ++i) {
            texts.push_back(
                replaceFirst(exampleDocument(), "\"timeout_ms\": 1000",
                             "\"timeout_ms\": " + std::to_string(1001 + 2 * round + i)));
            const auto file = testSite.dataFile("operator-" + std::to_string(i), texts.back());
            operators.push_back(std::make_unique<child_process>(
                "persimmonctl",
                std::vector<std::string>{"apply", file, "--platform-address", testSite.platform(),
                                         "--expect-version", version},
                file + ".out"));
        }
        int winner = -1;
        for (int i = 0; i < 2; ++i) {
            const auto code = operators[static_cast<size_t>(i)]->awaitExit(2 * defaultTimeout);
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
        CHECK(testSite.objectValue("config/haulbook") == texts[static_cast<size_t>(winner)]);
        CHECK(
            parseJson(testSite.objectValue("accepted/haulbook"))->getValue<std::string>("document")
            == texts[static_cast<size_t>(winner)]);
    }
}

// Guards against an invalid document that takes effect, and against error messages that don't name
// the faulty part of the document.
TEST_CASE("An invalid document is rejected with its errors and changes nothing", "[operations]")
{
    site testSite;
    const auto accepted = testSite.objectValue("accepted/haulbook");
    auto text = replaceFirst(exampleDocument(), "\"rank\": \"crew\"", "\"rank\": \"nobody\"");
    text = replaceFirst(text, "\"floor\": 0.4", "\"floor\": 7");
    // persimmonctl would reject the document, so the test writes the document to the platform
    // itself.
    const auto version = versionOf(testSite, "config/haulbook");
    REQUIRE(call("PUT", testSite.platform(),
                 "/v1/objects/config/haulbook?version=" + std::to_string(version), text)
                .status
            == 200);
    REQUIRE(awaitTrue([&] {
        return parseJson(testSite.objectValue("status/haulbook"))
                   ->optValue<std::string>("state", "")
            == "rejected";
    }));
    const auto status = testSite.objectValue("status/haulbook");
    CAPTURE(status);
    CHECK(status.find("operations") != std::string::npos);
    CHECK(status.find("floor") != std::string::npos);
    CHECK(parseJson(status)->getArray("errors")->size() >= 2);
    CHECK(testSite.objectValue("accepted/haulbook") == accepted);
    CHECK(site::awaitKeysServed(testSite.instance("ledger-0"), site::probeKeys()));
    // The owner rejects idempotency keys issued before its tenure, so each attempt uses a new key.
    CHECK(awaitTrue([&] {
        return call("POST", testSite.instance("ledger-0").callers(), "/ledger/credits/parish-1",
                    "cents=1", generateIdempotencyKey())
            .ran();
    }));
    // A corrected document is accepted afterwards.
    const auto file = testSite.dataFile(
        "corrected",
        replaceFirst(exampleDocument(), "\"timeout_ms\": 1000", "\"timeout_ms\": 1001"));
    child_process apply("persimmonctl", {"apply", file, "--platform-address", testSite.platform()},
                        file + ".out");
    CHECK(apply.awaitExit(2 * defaultTimeout) == 0);
}

// Guards against a planned stop that leaves requests without a complete response, leaves keys
// unserved, or leaves the member record of the stopped daemon on the platform.
TEST_CASE("SIGTERM under load leaves no request without a response and transfers all keys",
          "[operations]")
{
    site testSite;
    caller_load load(testSite);
    REQUIRE(load.awaitRuns(200));
    auto &stopped = testSite.instance(site::ownerOf(*testSite.instances().front(), "basin-1"));
    stopped.daemon->signal(SIGTERM);
    CHECK(stopped.daemon->awaitExit(2 * defaultTimeout) == 0);
    load.avoidDaemon(stopped.name);
    CHECK(testSite.objectValue("member/" + stopped.name).empty());
    CHECK(site::awaitKeysServed(testSite.instance("ledger-0"), site::probeKeys()));
    CHECK(load.awaitRuns(200));
    const auto failures = load.stopAndCheck();
    for (const auto &failure : failures) {
        UNSCOPED_INFO(failure);
    }
    CHECK(failures.empty());
    CAPTURE(testSite.folder(), load.summary());
    CHECK(load.incompleteResponses() == 0);
    const auto records = testSite.placements("haulbook");
    CHECK(std::none_of(records.begin(), records.end(),
                       [&](const auto &record) { return record.owner.name == stopped.name; }));
    WARN("graceful stop, load: " << load.summary());
}
