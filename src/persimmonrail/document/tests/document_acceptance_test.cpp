#include "persimmonrail/document/document_acceptance.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

const wall_time now{milliseconds(1'700'000'000'123)};

std::string documentText(const std::string &service, const std::string &source, int partitions,
                         const std::string &rank = "crew")
{
    return R"({"service":")" + service + R"(","key":{"source":")" + source
        + R"(","name":"haul"},"partitions":)" + std::to_string(partitions)
        + R"(,"ranks":[{"name":"crew","target_ms":5}],"operations":[{"name":"a","method":"*",
        "path_prefix":"/","rank":")"
        + rank + R"(","timeout_ms":5,"repeatable":true}]})";
}

stored_object config(uint64_t version, const std::string &text)
{
    return {"config/haulbook", version, false, text};
}

const std::string valid = documentText("haulbook", "query", 16);
const std::string invalid = documentText("haulbook", "query", 16, "nobody");

} // namespace

TEST_CASE("a valid document is accepted with its source version", "[document]")
{
    const auto decision = decideAcceptance(config(7, valid), std::nullopt, std::nullopt, now);
    CHECK(decision.accepted == accepted_document{7, valid});
    CHECK(decision.status == document_status{7, document_state::Accepted, now, {}});
}

TEST_CASE("an invalid document is rejected with its errors", "[document]")
{
    const auto decision =
        decideAcceptance(config(7, invalid), accepted_document{5, valid}, std::nullopt, now);
    CHECK(!decision.accepted);
    REQUIRE(decision.status);
    CHECK(decision.status->state == document_state::Rejected);
    REQUIRE(decision.status->errors.size() == 1);
    CHECK(decision.status->errors[0].path == "operations[0].rank");
}

// Guards P8: an accepted configuration never reverts, whichever stale object a coordinator reads.
TEST_CASE("a source version at or below the accepted one changes nothing", "[document]")
{
    const uint64_t version = GENERATE(1, 6, 7);
    const document_status current{7, document_state::Accepted, now, {}};
    CHECK(decideAcceptance(config(version, documentText("haulbook", "query", 16)),
                           accepted_document{7, valid}, current, now)
              .isNothingToDo());
}

// Guards against an operator waiting forever: the coordinator may be lost between its two writes.
TEST_CASE("a missing status of the accepted version is restored", "[document]")
{
    const auto decision =
        decideAcceptance(config(7, valid), accepted_document{7, valid}, std::nullopt, now);
    CHECK(!decision.accepted);
    CHECK(decision.status == document_status{7, document_state::Accepted, now, {}});
    CHECK(decideAcceptance(config(6, valid), accepted_document{7, valid}, std::nullopt, now)
              .isNothingToDo());
}

TEST_CASE("one version is judged once", "[document]")
{
    const document_status current{7, document_state::Rejected, now, {{"a", "b"}}};
    CHECK(decideAcceptance(config(7, invalid), std::nullopt, current, now).isNothingToDo());
    CHECK(!decideAcceptance(config(8, invalid), std::nullopt, current, now).isNothingToDo());
}

TEST_CASE("a deleted document leaves the accepted one in force", "[document]")
{
    CHECK(decideAcceptance({"config/haulbook", 9, true, ""}, accepted_document{7, valid},
                           std::nullopt, now)
              .isNothingToDo());
}

// Guards P1: with another division of the key space, a key would belong to two partitions.
TEST_CASE("partitions, key rule and service name cannot change", "[document]")
{
    const auto [text, path] = GENERATE(table<std::string, std::string>({
        {documentText("haulbook", "query", 32), "partitions"},
        {documentText("haulbook", "header", 16), "key"},
        {documentText("ledger", "query", 16), "service"},
    }));
    const auto decision =
        decideAcceptance(config(8, text), accepted_document{7, valid}, std::nullopt, now);
    CHECK(!decision.accepted);
    REQUIRE(decision.status);
    REQUIRE(decision.status->errors.size() == 1);
    CHECK(decision.status->errors[0].path == path);
}

TEST_CASE("an unreadable accepted document is not replaced", "[document]")
{
    const auto decision =
        decideAcceptance(config(8, valid), accepted_document{7, "{}"}, std::nullopt, now);
    CHECK(!decision.accepted);
    CHECK(decision.status->state == document_state::Rejected);
}

TEST_CASE("stored forms survive encoding", "[document]")
{
    const accepted_document accepted{0x7000000000000000ULL, valid};
    CHECK(*decodeAccepted(encodeAccepted(accepted)) == accepted);
    const document_status status{
        9, document_state::Rejected, now, {{"a[0].b", "\"x\"\n"}, {"", "y"}}};
    CHECK(*decodeStatus(encodeStatus(status)) == status);
    for (const char *text : {"", "{}", "[]", R"({"source_version":0,"document":""})",
                             R"({"source_version":1,"state":"maybe","errors":[]})"}) {
        CAPTURE(text);
        CHECK(decodeAccepted(text).status().code() == absl::StatusCode::kInvalidArgument);
        CHECK(decodeStatus(text).status().code() == absl::StatusCode::kInvalidArgument);
    }
}
