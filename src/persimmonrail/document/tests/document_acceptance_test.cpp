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

stored_object configObject(uint64_t version, const std::string &text)
{
    return {"config/haulbook", version, false, text};
}

const std::string validDocument = documentText("haulbook", "query", 16);
const std::string invalidDocument = documentText("haulbook", "query", 16, "nobody");

} // namespace

TEST_CASE("a valid document is accepted with its source version", "[document]")
{
    const auto decision =
        decideAcceptance(configObject(7, validDocument), std::nullopt, std::nullopt, now);
    CHECK(decision.accepted == accepted_document{7, validDocument});
    CHECK(decision.status == document_status{7, document_state::Accepted, now, {}});
}

TEST_CASE("an invalid document is rejected with its errors", "[document]")
{
    const auto decision = decideAcceptance(configObject(7, invalidDocument),
                                           accepted_document{5, validDocument}, std::nullopt, now);
    CHECK(!decision.accepted);
    REQUIRE(decision.status);
    CHECK(decision.status->state == document_state::Rejected);
    REQUIRE(decision.status->errors.size() == 1);
    CHECK(decision.status->errors[0].path == "operations[0].rank");
}

// Guards against a coordinator that reads an outdated object and reverts an accepted configuration
// (property P8 in docs/design.md).
TEST_CASE("a source version at or below the accepted one changes nothing", "[document]")
{
    const uint64_t version = GENERATE(1, 6, 7);
    const document_status current{7, document_state::Accepted, now, {}};
    CHECK(decideAcceptance(configObject(version, documentText("haulbook", "query", 16)),
                           accepted_document{7, validDocument}, current, now)
              .isEmpty());
}

// Guards against a status that never appears, so that an operator waits for it forever. This
// happens if the coordinator fails after it has written the accepted copy and before it writes the
// status.
TEST_CASE("a missing status of the accepted version is restored", "[document]")
{
    const auto decision = decideAcceptance(configObject(7, validDocument),
                                           accepted_document{7, validDocument}, std::nullopt, now);
    CHECK(!decision.accepted);
    CHECK(decision.status == document_status{7, document_state::Accepted, now, {}});
    CHECK(decideAcceptance(configObject(6, validDocument), accepted_document{7, validDocument},
                           std::nullopt, now)
              .isEmpty());
}

TEST_CASE("a version with a stored status is not validated again", "[document]")
{
    const document_status current{7, document_state::Rejected, now, {{"a", "b"}}};
    CHECK(decideAcceptance(configObject(7, invalidDocument), std::nullopt, current, now).isEmpty());
    CHECK(
        !decideAcceptance(configObject(8, invalidDocument), std::nullopt, current, now).isEmpty());
}

TEST_CASE("a deleted document leaves the accepted one in force", "[document]")
{
    CHECK(decideAcceptance({"config/haulbook", 9, true, ""}, accepted_document{7, validDocument},
                           std::nullopt, now)
              .isEmpty());
}

// Guards against a key with two owners (property P1 in docs/design.md). If the division of the key
// space changed, a key would belong to an old and to a new partition.
TEST_CASE("partitions, key rule and service name cannot change", "[document]")
{
    const auto [text, path] = GENERATE(table<std::string, std::string>({
        {documentText("haulbook", "query", 32), "partitions"},
        {documentText("haulbook", "header", 16), "key"},
        {documentText("ledger", "query", 16), "service"},
    }));
    const auto decision = decideAcceptance(configObject(8, text),
                                           accepted_document{7, validDocument}, std::nullopt, now);
    CHECK(!decision.accepted);
    REQUIRE(decision.status);
    REQUIRE(decision.status->errors.size() == 1);
    CHECK(decision.status->errors[0].path == path);
}

TEST_CASE("an unreadable accepted document is not replaced", "[document]")
{
    const auto decision = decideAcceptance(configObject(8, validDocument),
                                           accepted_document{7, "{}"}, std::nullopt, now);
    CHECK(!decision.accepted);
    CHECK(decision.status->state == document_state::Rejected);
}

TEST_CASE("accepted documents and statuses are unchanged by encoding and decoding", "[document]")
{
    const accepted_document accepted{0x7000000000000000ULL, validDocument};
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
