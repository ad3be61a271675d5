#include "persimmonrail/upstream/announcement.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against accepting an announcement in which a field is missing or out of range.
TEST_CASE("each field of an announcement is validated", "[upstream]")
{
    const std::string valid =
        R"({"service":"ledger","instance":"ledger-1","address":"127.0.0.1:1",)"
        R"("slots":10,"boot_id":"b1","draining":true,"checks_grants":true})";
    const auto parsed = parseAnnouncement(valid);
    REQUIRE(parsed.ok());
    CHECK(*parsed
          == upstream_announcement{"ledger", "ledger-1", "127.0.0.1:1", 10, "b1", true, true});
    CHECK(*parseAnnouncement(encodeAnnouncement(*parsed)) == *parsed);

    struct
    {
        const char *from;
        const char *to;
        const char *field;
    } const table[] = {
        {"\"ledger\"", "\"\"", "service"},
        {"\"ledger-1\"", "\"\"", "instance"},
        {"127.0.0.1:1", "127.0.0.1", "address"},
        {"127.0.0.1:1", "upstream.example:80", "address"},
        {"10", "0", "slots"},
        {"10", "100001", "slots"},
        {"10", "\"many\"", "slots"},
        {"\"b1\"", "\"\"", "boot_id"},
        {"\"boot_id\"", "\"boot\"", "boot_id"},
        {"{", "[", "not"},
    };
    for (const auto &row : table) {
        std::string text = valid;
        text.replace(text.find(row.from), std::string(row.from).size(), row.to);
        CAPTURE(text);
        const auto result = parseAnnouncement(text);
        REQUIRE_FALSE(result.ok());
        CHECK(std::string(result.status().message()).rfind(row.field, 0) == 0);
    }
}

// Guards against hash bounds that lose precision because they are written as JSON numbers.
TEST_CASE("grants preserve all 64 bits of their hash bounds", "[upstream]")
{
    const hash_range range{0x8000000000000001ULL, 0xffffffffffffffffULL};
    int64_t validMs = 0;
    const auto grants = parseGrants(encodeGrants({{"ledger/x", 7, range}}, 1000), validMs);
    REQUIRE(grants.ok());
    REQUIRE(grants->size() == 1);
    CHECK(validMs == 1000);
    CHECK(grants->front().partition == "ledger/x");
    CHECK(grants->front().term == 7);
    CHECK(grants->front().range == range);
    CHECK_FALSE(
        parseGrants(R"({"valid_ms":1,"grants":[{"partition":"a","term":1,"lower":"1"}]})", validMs)
            .ok());
}
