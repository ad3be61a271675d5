#include "persimmonrail/document/document_parser.h"

#include "persimmonrail/document/json_reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <bit>
#include <map>
#include <set>

namespace persimmonrail {
namespace {

constexpr size_t maxNameLength = 63;
constexpr size_t maxTextLength = 256;
constexpr int maxKeySegment = 31;
constexpr double maxWorth = 1e9;
constexpr size_t incarnationDigits = 16;
constexpr std::string_view httpTokenSymbols = "!#$%&'*+-.^_`|~";

bool isUpper(char c)
{
    return c >= 'A' && c <= 'Z';
}

bool isLowerOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

// A field name as RFC 9110 defines it.
bool isHttpToken(std::string_view text)
{
    return !text.empty() && text.size() <= maxTextLength
        && std::all_of(text.begin(), text.end(), [](char c) {
               return isUpper(c) || isLowerOrDigit(c)
                   || httpTokenSymbols.find(c) != std::string_view::npos;
           });
}

bool isMethod(std::string_view text)
{
    return text == "*"
        || (!text.empty() && text.size() <= maxNameLength
            && std::all_of(text.begin(), text.end(), isUpper));
}

bool isPathPrefix(std::string_view text)
{
    return !text.empty() && text.size() <= maxTextLength && text.front() == '/'
        && std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < 0x7f && c != '?' && c != '#'; });
}

bool isRetiredInstance(std::string_view text)
{
    const size_t slash = text.find('/');
    if (slash == std::string_view::npos || !isValidName(text.substr(0, slash))) {
        return false;
    }
    const auto digits = text.substr(slash + 1);
    return digits.size() == incarnationDigits
        && digits.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string readName(object_reader &reader, const std::string &field)
{
    const auto name = reader.text(field);
    if (name && !isValidName(*name)) {
        reader.fail(field, "must be 1 to 63 characters out of a-z, 0-9 and '-'");
    }
    return name.value_or("");
}

// Reports names that occur more than once.
class name_set
{
public:
    void add(object_reader &reader, const std::string &field, const std::string &name)
    {
        if (!name.empty() && !m_names.insert(name).second) {
            reader.fail(field, absl::StrCat("'", name, "' is used more than once"));
        }
    }
    bool contains(const std::string &name) const { return m_names.contains(name); }

private:
    std::set<std::string> m_names;
};

// Exactly one of `segment` and `name` belongs to a source.
void refuseField(object_reader &reader, const std::string &field, const std::string &source)
{
    reader.ignore(field);
    if (reader.has(field)) {
        reader.fail(field, absl::StrCat("does not apply to source '", source, "'"));
    }
}

key_rule readKey(object_reader &reader)
{
    static const std::map<std::string, key_source> sources = {
        {"path", key_source::PathSegment},
        {"query", key_source::QueryParameter},
        {"header", key_source::Header},
    };
    key_rule key;
    const auto source = reader.text("source");
    const auto found = source ? sources.find(*source) : sources.end();
    if (source && found == sources.end()) {
        reader.fail("source", "must be 'path', 'query' or 'header'");
    }
    if (found == sources.end()) {
        // Without a valid source it is undecided which of the other fields apply.
        reader.ignore("segment");
        reader.ignore("name");
        return key;
    }
    key.source = found->second;
    if (key.source == key_source::PathSegment) {
        key.segment = static_cast<int>(reader.integer("segment", 0, maxKeySegment).value_or(0));
        refuseField(reader, "name", *source);
        return key;
    }
    refuseField(reader, "segment", *source);
    key.name = reader.text("name").value_or("");
    if (key.source == key_source::Header && reader.has("name") && !isHttpToken(key.name)) {
        reader.fail("name", "must be an HTTP field name");
    }
    if (key.source == key_source::QueryParameter && reader.has("name")
        && (key.name.empty() || key.name.size() > maxTextLength)) {
        reader.fail("name", "must be 1 to 256 characters");
    }
    return key;
}

std::optional<key_rule> readOptionalKey(object_reader &root)
{
    auto reader = root.object("key");
    if (!reader) {
        return std::nullopt;
    }
    const key_rule key = readKey(*reader);
    reader->reportUnknown();
    return key;
}

std::vector<rank_rule> readRanks(object_reader &root, name_set &names)
{
    std::vector<rank_rule> ranks;
    double floorSum = 0;
    for (auto &reader : root.objects("ranks", true)) {
        rank_rule rank;
        rank.name = readName(reader, "name");
        names.add(reader, "name", rank.name);
        rank.target =
            milliseconds(reader.integer("target_ms", 1, maxOperationTimeout.count()).value_or(0));
        rank.worth = reader.number("worth", 0, maxWorth, rank.worth);
        rank.floor = reader.number("floor", 0, 1, rank.floor);
        reader.reportUnknown();
        floorSum += rank.floor;
        ranks.push_back(std::move(rank));
    }
    // Sums of decimal fractions such as 0.95 deviate in the last binary digits.
    constexpr double rounding = 1e-9;
    if (floorSum > maxFloorSum + rounding) {
        root.fail("ranks",
                  absl::StrCat("floors add up to ", floorSum, ", the maximum is ", maxFloorSum));
    }
    return ranks;
}

operation_rule readOperation(object_reader &reader, const name_set &rankNames)
{
    operation_rule operation;
    operation.name = readName(reader, "name");
    operation.method = reader.text("method").value_or("");
    if (!operation.method.empty() && !isMethod(operation.method)) {
        reader.fail("method", "must be '*' or upper-case letters");
    }
    operation.pathPrefix = reader.text("path_prefix").value_or("");
    if (reader.has("path_prefix") && !isPathPrefix(operation.pathPrefix)) {
        reader.fail("path_prefix",
                    "must start with '/' and hold at most 256 printable characters "
                    "other than '?' and '#'");
    }
    operation.rank = reader.text("rank").value_or("");
    if (!operation.rank.empty() && !rankNames.contains(operation.rank)) {
        reader.fail("rank", absl::StrCat("no rank is named '", operation.rank, "'"));
    }
    operation.timeout = milliseconds(
        reader.integer("timeout_ms", minOperationTimeout.count(), maxOperationTimeout.count())
            .value_or(0));
    operation.repeatable = reader.boolean("repeatable").value_or(true);
    reader.reportUnknown();
    return operation;
}

std::vector<operation_rule> readOperations(object_reader &root, const name_set &rankNames)
{
    std::vector<operation_rule> operations;
    name_set names;
    std::set<std::pair<std::string, std::string>> patterns;
    for (auto &reader : root.objects("operations", true)) {
        auto operation = readOperation(reader, rankNames);
        names.add(reader, "name", operation.name);
        if (!operation.pathPrefix.empty()
            && !patterns.insert({operation.method, operation.pathPrefix}).second) {
            reader.fail("path_prefix", "an earlier operation has the same method and path prefix");
        }
        operations.push_back(std::move(operation));
    }
    return operations;
}

int readPartitions(object_reader &root, bool isRequired)
{
    if (!root.has("partitions")) {
        root.ignore("partitions");
        if (isRequired) {
            root.fail("partitions",
                      "is required with a key rule or an operation that is not repeatable");
        }
        return 0;
    }
    const auto count = root.integer("partitions", 1, maxPartitions);
    if (count && !std::has_single_bit(static_cast<uint64_t>(*count))) {
        root.fail("partitions", "must be a power of two");
    }
    return static_cast<int>(count.value_or(0));
}

std::vector<std::string> readRetired(object_reader &root)
{
    std::vector<std::string> retired;
    std::set<std::string> seen;
    for (auto &[path, text] : root.texts("retired")) {
        if (!isRetiredInstance(text)) {
            root.failAt(path, "must be 'name/incarnation' with 16 hexadecimal digits");
        } else if (!seen.insert(text).second) {
            root.failAt(path, absl::StrCat("'", text, "' is listed more than once"));
        }
        retired.push_back(std::move(text));
    }
    return retired;
}

service_document readDocument(object_reader &root)
{
    service_document document;
    document.service = readName(root, "service");
    document.key = readOptionalKey(root);
    document.checksGrants = root.booleanOr("checks_grants", false);
    name_set rankNames;
    document.ranks = readRanks(root, rankNames);
    document.operations = readOperations(root, rankNames);
    const bool hasSingleRun =
        std::any_of(document.operations.begin(), document.operations.end(),
                    [](const operation_rule &operation) { return !operation.repeatable; });
    document.partitions = readPartitions(root, root.has("key") || hasSingleRun);
    document.retired = readRetired(root);
    root.reportUnknown();
    return document;
}

} // namespace

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength
        && std::all_of(text.begin(), text.end(),
                       [](char c) { return isLowerOrDigit(c) || c == '-'; });
}

parsed_document parseServiceDocument(std::string_view json)
{
    parsed_document parsed;
    if (json.size() > maxDocumentBytes) {
        parsed.errors.push_back(
            {"", absl::StrCat("holds ", json.size(), " bytes, the maximum is ", maxDocumentBytes)});
        return parsed;
    }
    error_list errors;
    if (const auto object = parseJsonObject(json, maxDocumentDepth, errors); !object.isNull()) {
        object_reader root(object, "", errors);
        auto document = readDocument(root);
        if (errors.empty()) {
            parsed.document = std::move(document);
        }
    }
    parsed.errors = errors.errors();
    return parsed;
}

std::string renderErrors(const std::vector<document_error> &errors)
{
    std::string text;
    for (const auto &error : errors) {
        absl::StrAppend(&text, error.path.empty() ? "document" : error.path, ": ", error.message,
                        "\n");
    }
    return text;
}

} // namespace persimmonrail
