#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/key_hash.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace persimmonrail;

// Guards against a change of the hash function, after which the stored ranges of partitions would
// contain other keys.
TEST_CASE("key hashes are stable", "[base]")
{
    struct
    {
        const char *key;
        uint64_t hash;
    } const table[] = {
        {"", 0xefd01f60ba992926ULL},
        {"basin-17", 0x905556b89862d752ULL},
        {"berth/4", 0xf342565c94695043ULL},
    };
    for (const auto &row : table) {
        CAPTURE(row.key, hashToString(keyHash(row.key)));
        CHECK(keyHash(row.key) == row.hash);
    }
}

// Guards against a hash function that places similar keys in the same partition.
TEST_CASE("sequential keys spread evenly over the hash space", "[base]")
{
    constexpr int partitions = 16;
    constexpr int keysPerPartition = 1000;
    std::array<int, partitions> counts{};
    for (int i = 0; i < partitions * keysPerPartition; ++i) {
        ++counts[keyHash("haul-" + std::to_string(i)) >> 60];
    }
    // Each partition must have its share of the keys within 10 %.
    for (const int count : counts) {
        CHECK(count > keysPerPartition * 9 / 10);
        CHECK(count < keysPerPartition * 11 / 10);
    }
}

// Guards against weights that do not depend on the member or do not depend on the subject (the role
// for which a member is chosen), and against weights that depend only on the concatenation of both.
TEST_CASE("rendezvous weights depend on member and subject", "[base]")
{
    CHECK(rendezvousWeight("a", "x") != rendezvousWeight("b", "x"));
    CHECK(rendezvousWeight("a", "x") != rendezvousWeight("a", "y"));
    CHECK(rendezvousWeight("ab", "c") != rendezvousWeight("a", "bc"));
}

TEST_CASE("an instance id is formatted as name and incarnation", "[base]")
{
    CHECK(toString(instance_id{"haulbook-1", 0xabc}) == "haulbook-1/0000000000000abc");
    CHECK(generateIncarnation() != 0);
    CHECK(generateIncarnation() != generateIncarnation());
}

// Guards against a record that one reader takes by the first line of a member and another by the
// last.
TEST_CASE("JSON texts that readers may read otherwise are rejected", "[base]")
{
    const auto [text, isAccepted] = GENERATE(table<std::string, bool>({
        {R"({"a":1,"b":{"a":2}})", true},
        {R"({"a":[{"b":1},{"b":2}]})", true},
        {R"({"a":1,"a":1})", false},
        {R"({"a":{"b":1,"c":[],"b":1}})", false},
        {R"({"a":[{"b":1,"b":2}]})", false},
        {R"({"a":1} {"a":2})", false},
        {R"({"a":1}x)", false},
        {R"({"a":1)", false},
        {R"([1])", false},
        {"", false},
        {R"({"a":)" + std::string(31, '[') + std::string(31, ']') + "}", true},
        {R"({"a":)" + std::string(32, '[') + std::string(32, ']') + "}", false},
        {std::string(100'000, '['), false},
    }));
    CAPTURE(text);
    const auto decoded = decodeJson(
        text, "test", [](const Poco::JSON::Object &) { return absl::StatusOr<bool>(true); });
    CHECK(decoded.ok() == isAccepted);
}

// Guards against one malformed object that hides the valid objects of a list.
TEST_CASE("a repeated member of an element does not hide the other elements", "[base]")
{
    const json_list list = parseStrictJsonList(
        R"({"items":[{"a":1},{"a":1,"a":2},{"a":{"b":1,"b":2}},{"a":{"b":1}}],"more":false})");
    CHECK(list.ambiguousElements == std::set<size_t>{1, 2});
    CHECK(list.object->getArray("items")->size() == 4);
    CHECK_THROWS_AS(parseStrictJsonList(R"({"items":[],"items":[{"a":1}]})"), Poco::Exception);
}
