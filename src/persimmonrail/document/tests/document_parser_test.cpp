#include "persimmonrail/document/document_parser.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace persimmonrail;

namespace {

std::string readExample(const std::string &name)
{
    const auto root = std::filesystem::path(__FILE__).parent_path() / "../../../../examples";
    std::ifstream file(root / name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Returns the haulbook example with the first occurrence of `from` replaced by `to`.
std::string editedExample(const std::string &from, const std::string &to)
{
    std::string text = readExample("haulbook.json");
    const size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

// A replacement in the haulbook example that makes it invalid, and the path of the expected error.
struct invalid_edit
{
    const char *from;
    const char *to;
    const char *path;
};

} // namespace

TEST_CASE("the example documents are valid", "[document]")
{
    const auto haulbook = parseServiceDocument(readExample("haulbook.json"));
    REQUIRE(renderErrors(haulbook.errors).empty());
    CHECK(haulbook.document->key->segment == 1);
    CHECK(haulbook.document->partitions == 16);
    CHECK(haulbook.document->checksGrants);
    CHECK(haulbook.document->ranks[0].floor == 0.4);
    CHECK(haulbook.document->operations[0].timeout == milliseconds(2000));
    const auto ledger = parseServiceDocument(readExample("ledger.json"));
    REQUIRE(renderErrors(ledger.errors).empty());
    CHECK(!ledger.document->key);
    CHECK(ledger.document->isPartitioned());
}

// Guards against accepting a document with a value that the daemons cannot apply, and against an
// error that is reported at the wrong path.
TEST_CASE("each violation is reported once, at its path", "[document]")
{
    const auto &[from, to, path] = GENERATE(values<invalid_edit>({
        {"\"haulbook\"", "\"Haulbook\"", "service"},
        {"\"haulbook\"", "7", "service"},
        {"\"service\": \"haulbook\",", "", "service"},
        {"\"path\"", "\"cookie\"", "key.source"},
        {"\"segment\": 1", "\"segment\": -1", "key.segment"},
        {"\"segment\": 1", "\"segment\": 1, \"name\": \"a\"", "key.name"},
        {"\"path\", \"segment\": 1", "\"header\", \"name\": \"a b\"", "key.name"},
        {"\"path\", \"segment\": 1", "\"query\"", "key.name"},
        {"{\"source\": \"path\", \"segment\": 1}", "null", "key"},
        {"\"segment\": 1", "\"segment\": 1, \"part\": 2", "key.part"},
        {"16", "12", "partitions"},
        {"16", "131072", "partitions"},
        {"16", "16.0", "partitions"},
        {"16", "9999999999999999999", "partitions"},
        {"16", "true", "partitions"},
        {"\"partitions\": 16,", "", "partitions"},
        {"true", "\"yes\"", "checks_grants"},
        {"\"ranks\": [", "\"ranks\": [{\"name\": \"crew\", \"target_ms\": 1},", "ranks[2].name"},
        {"0.4", "1.5", "ranks[0].floor"},
        {"0.4", "-0.1", "ranks[0].floor"},
        {"0.4", "0.61", "ranks"},
        {"\"worth\": 8", "\"worth\": \"8\"", "ranks[0].worth"},
        {"\"target_ms\": 40", "\"target_ms\": 0", "ranks[0].target_ms"},
        {"\"rank\": \"tally\"", "\"rank\": \"tallies\"", "operations[3].rank"},
        {"\"record-haul\"", "\"read-haul\"", "operations[1].name"},
        {"\"POST\"", "\"GET\"", "operations[1].path_prefix"},
        {"\"POST\"", "\"post\"", "operations[0].method"},
        {"\"/hauls\"", "\"hauls\"", "operations[0].path_prefix"},
        {"\"timeout_ms\": 2000", "\"timeout_ms\": 600001", "operations[0].timeout_ms"},
        {"\"repeatable\": false", "\"repeatable\": 0", "operations[0].repeatable"},
        {"\"repeatable\": false", "\"repeatable\": false, \"retries\": 3", "operations[0].retries"},
        {"\"retired\": []", "\"retired\": [\"haulbook-1\"]", "retired[0]"},
        {"\"retired\": []", "\"retired\": [\"a/0123456789abcdef\", \"a/0123456789abcdef\"]",
         "retired[1]"},
        {"\"retired\": []", "\"retired\": [1]", "retired[0]"},
        {"\"retired\": []", "\"rank\": []", "rank"},
        {"\"partitions\": 16", "\"partitions\": 16, \"partitions\": 16", "partitions"},
        {"\"worth\": 4,", "\"worth\": 4, \"worth\": 4,", "ranks[1].worth"},
    }));
    CAPTURE(from, to);
    const auto parsed = parseServiceDocument(editedExample(from, to));
    CHECK(!parsed.document);
    CAPTURE(renderErrors(parsed.errors));
    REQUIRE(parsed.errors.size() == 1);
    CHECK(parsed.errors[0].path == path);
}

// Guards against reporting only the first error, so that an operator has to correct a document one
// error at a time.
TEST_CASE("all errors of a document are listed", "[document]")
{
    const auto parsed = parseServiceDocument(
        R"({"service":"a","ranks":[{"name":"x","target_ms":0}],"operations":[
           {"name":"p","method":"GET","path_prefix":"/","rank":"y","timeout_ms":0,"repeatable":false}
           ],"extra":1})");
    std::vector<std::string> paths;
    for (const auto &error : parsed.errors) {
        paths.push_back(error.path);
    }
    CHECK(paths
          == std::vector<std::string>{"ranks[0].target_ms", "operations[0].rank",
                                      "operations[0].timeout_ms", "partitions", "extra"});
}

TEST_CASE("text that is not a service document is rejected", "[document]")
{
    for (const std::string &text :
         {std::string(), std::string("[]"), std::string("1"), std::string("{"),
          std::string("{} {}"), std::string("{}x"), std::string("\xff\xfe"),
          std::string("{\"service\":\"\xff\"}"), std::string("{\"a\":NaN}"),
          std::string(R"({"a":1} // comment)"), std::string("{\"a\":}"),
          std::string("{\"partitions\":99999999999999999999}"),
          std::string(maxDocumentBytes + 1, ' '), std::string(200'000, '['),
          "{\"a\":" + std::string(200, '[') + std::string(200, ']') + "}"}) {
        CAPTURE(text.substr(0, 40));
        const auto parsed = parseServiceDocument(text);
        CHECK(!parsed.document);
        CHECK(!parsed.errors.empty());
    }
}

// Guards against a small document whose status exceeds the platform's limit for a value or the
// daemon's memory. Without limits, the error for each repeated field would contain the long name of
// the parent field.
TEST_CASE("errors of a document are bounded in number and size", "[document]")
{
    std::string text = "{\"" + std::string(100'000, 'n') + "\\u001b\":{\"a\":1";
    for (int i = 0; i < 20'000; ++i) {
        text += ",\"a\":1";
    }
    text += "}}";
    const auto parsed = parseServiceDocument(text);
    CHECK(!parsed.document);
    REQUIRE(parsed.errors.size() == maxDocumentErrors + 1);
    CHECK(parsed.errors.back().message.ends_with("further errors are not listed"));
    CHECK(renderErrors(parsed.errors).size() < 100'000);
    const auto escaped = parseServiceDocument(R"({"\u001b[2J":1})");
    REQUIRE(!escaped.errors.empty());
    CHECK(renderErrors(escaped.errors).find("\\x1b[2J: unknown field") != std::string::npos);
}

// Guards against a stored document that crashes the coordinator. For any bytes, the parser must
// return either a document or errors.
TEST_CASE("a corrupted document yields either a document or errors", "[document]")
{
    std::mt19937 random(20240611);
    const std::string original = readExample("haulbook.json");
    const std::string alphabet = "{}[]\",:0123456789.eE-+\\u\x01\x80\xff truefalsn";
    size_t rejected = 0;
    constexpr size_t rounds = 3000;
    for (size_t round = 0; round < rounds; ++round) {
        std::string text = original;
        for (size_t edits = 1 + random() % 6; edits > 0; --edits) {
            const size_t position = random() % text.size();
            switch (random() % 4) {
            case 0:
                text.erase(position, 1 + random() % 20);
                break;
            case 1:
                text.insert(position, text.substr(random() % text.size(), random() % 60));
                break;
            default:
                text[position] = alphabet[random() % alphabet.size()];
            }
            if (text.empty()) {
                text = "{";
            }
        }
        CAPTURE(round);
        const auto parsed = parseServiceDocument(text);
        REQUIRE(parsed.document.has_value() == parsed.errors.empty());
        rejected += parsed.document ? 0 : 1;
    }
    CHECK(rejected > rounds / 2);
}

TEST_CASE("operations match by method and whole path segments", "[document]")
{
    const auto document = *parseServiceDocument(readExample("haulbook.json")).document;
    const auto findOperationName = [&](const char *method, const char *path) {
        const auto *operation = document.findOperation(method, path);
        return operation == nullptr ? std::string() : operation->name;
    };
    CHECK(findOperationName("POST", "/hauls/7") == "record-haul");
    CHECK(findOperationName("GET", "/hauls") == "read-haul");
    CHECK(findOperationName("GET", "/hauls?id=7") == "read-haul");
    CHECK(findOperationName("GET", "/haulsheet").empty());
    CHECK(findOperationName("GET", "/haul").empty());
    CHECK(findOperationName("DELETE", "/hauls/7").empty());
    CHECK(document.rankIndex("audit") == 2);
    CHECK(document.rankIndex("nothing") == 3);
}
