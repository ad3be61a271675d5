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
constexpr int maxKeySegmentIndex = 31;
constexpr double maxWorth = 1e9;
constexpr size_t incarnationDigitCount = 16;
constexpr std::string_view httpTokenPunctuation = "!#$%&'*+-.^_`|~";

bool isUpper(char c)
{
    return c >= 'A' && c <= 'Z';
}

bool isLowerOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

// Returns whether `text` is a field name (token) of RFC 9110 and at most maxTextLength long.
bool isHttpToken(std::string_view text)
{
    return !text.empty() && text.size() <= maxTextLength
        && std::all_of(text.begin(), text.end(), [](char c) {
               return isUpper(c) || isLowerOrDigit(c)
                   || httpTokenPunctuation.find(c) != std::string_view::npos;
           });
}

// Returns whether `text` is "*", which matches every method, or 1 to 63 upper-case letters.
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

// Returns whether `text` has the form "name/incarnation" with a hexadecimal incarnation.
bool isRetiredInstance(std::string_view text)
{
    const size_t slash = text.find('/');
    if (slash == std::string_view::npos || !isValidName(text.substr(0, slash))) {
        return false;
    }
    const auto digits = text.substr(slash + 1);
    return digits.size() == incarnationDigitCount
        && digits.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

// Returns the name in `field`, or an empty string if the field is missing or is not a string.
std::string readName(object_reader &reader, const std::string &field)
{
    const auto name = reader.requiredString(field);
    if (name && !isValidName(*name)) {
        reader.reportError(field, "must be 1 to 63 characters out of a-z, 0-9 and '-'");
    }
    return name.value_or("");
}

// Collects the names of one list and reports an error for each name that occurs more than once.
class unique_names
{
public:
    void add(object_reader &reader, const std::string &field, const std::string &name)
    {
        if (!name.empty() && !m_names.insert(name).second) {
            reader.reportError(field, absl::StrCat("'", name, "' is used more than once"));
        }
    }
    bool contains(const std::string &name) const { return m_names.contains(name); }

private:
    std::set<std::string> m_names;
};

// Reports an error if `field` is present. The source "path" takes `segment` only; the sources
// "query" and "header" take `name` only.
void rejectField(object_reader &reader, const std::string &field, const std::string &source)
{
    reader.markKnown(field);
    if (reader.has(field)) {
        reader.reportError(field, absl::StrCat("does not apply to source '", source, "'"));
    }
}

key_rule readKeyRule(object_reader &reader)
{
    static const std::map<std::string, key_source> sources = {
        {"path", key_source::PathSegment},
        {"query", key_source::QueryParameter},
        {"header", key_source::Header},
    };
    key_rule key;
    const auto source = reader.requiredString("source");
    const auto found = source ? sources.find(*source) : sources.end();
    if (source && found == sources.end()) {
        reader.reportError("source", "must be 'path', 'query' or 'header'");
    }
    if (found == sources.end()) {
        // Without a valid source, the parser cannot tell whether `segment` or `name` applies.
        reader.markKnown("segment");
        reader.markKnown("name");
        return key;
    }
    key.source = found->second;
    if (key.source == key_source::PathSegment) {
        key.segment =
            static_cast<int>(reader.requiredInteger("segment", 0, maxKeySegmentIndex).value_or(0));
        rejectField(reader, "name", *source);
        return key;
    }
    rejectField(reader, "segment", *source);
    key.name = reader.requiredString("name").value_or("");
    if (key.source == key_source::Header && reader.has("name") && !isHttpToken(key.name)) {
        reader.reportError("name", "must be an HTTP field name");
    }
    if (key.source == key_source::QueryParameter && reader.has("name")
        && (key.name.empty() || key.name.size() > maxTextLength)) {
        reader.reportError("name", "must be 1 to 256 characters");
    }
    return key;
}

std::optional<key_rule> readOptionalKeyRule(object_reader &root)
{
    auto reader = root.optionalObject("key");
    if (!reader) {
        return std::nullopt;
    }
    const key_rule key = readKeyRule(*reader);
    reader->reportUnknownFields();
    return key;
}

std::vector<rank_rule> readRanks(object_reader &root, unique_names &names)
{
    std::vector<rank_rule> ranks;
    double floorSum = 0;
    for (auto &reader : root.objectArray("ranks", true)) {
        rank_rule rank;
        rank.name = readName(reader, "name");
        names.add(reader, "name", rank.name);
        rank.target = milliseconds(
            reader.requiredInteger("target_ms", 1, maxOperationTimeout.count()).value_or(0));
        rank.worth = reader.numberOr("worth", 0, maxWorth, rank.worth);
        rank.floor = reader.numberOr("floor", 0, 1, rank.floor);
        reader.reportUnknownFields();
        floorSum += rank.floor;
        ranks.push_back(std::move(rank));
    }
    // Binary floating point cannot represent decimal fractions such as 0.95 exactly, so their sums
    // have rounding errors.
    constexpr double roundingTolerance = 1e-9;
    if (floorSum > maxFloorSum + roundingTolerance) {
        root.reportError(
            "ranks", absl::StrCat("floors add up to ", floorSum, ", the maximum is ", maxFloorSum));
    }
    return ranks;
}

operation_rule readOperation(object_reader &reader, const unique_names &rankNames)
{
    operation_rule operation;
    operation.name = readName(reader, "name");
    operation.method = reader.requiredString("method").value_or("");
    if (!operation.method.empty() && !isMethod(operation.method)) {
        reader.reportError("method", "must be '*' or 1 to 63 upper-case letters");
    }
    operation.pathPrefix = reader.requiredString("path_prefix").value_or("");
    if (reader.has("path_prefix") && !isPathPrefix(operation.pathPrefix)) {
        reader.reportError("path_prefix",
                           "must start with '/' and have at most 256 printable characters "
                           "other than '?' and '#'");
    }
    operation.rank = reader.requiredString("rank").value_or("");
    if (!operation.rank.empty() && !rankNames.contains(operation.rank)) {
        reader.reportError("rank", absl::StrCat("no rank is named '", operation.rank, "'"));
    }
    operation.timeout = milliseconds(
        reader
            .requiredInteger("timeout_ms", minOperationTimeout.count(), maxOperationTimeout.count())
            .value_or(0));
    operation.repeatable = reader.requiredBoolean("repeatable").value_or(true);
    reader.reportUnknownFields();
    return operation;
}

std::vector<operation_rule> readOperations(object_reader &root, const unique_names &rankNames)
{
    std::vector<operation_rule> operations;
    unique_names names;
    std::set<std::pair<std::string, std::string>> patterns;
    for (auto &reader : root.objectArray("operations", true)) {
        auto operation = readOperation(reader, rankNames);
        names.add(reader, "name", operation.name);
        if (!operation.pathPrefix.empty()
            && !patterns.insert({operation.method, operation.pathPrefix}).second) {
            reader.reportError("path_prefix",
                               "an earlier operation has the same method and path prefix");
        }
        operations.push_back(std::move(operation));
    }
    return operations;
}

// Returns the number of partitions, or 0 if the field is missing or invalid.
int readPartitions(object_reader &root, bool isRequired)
{
    if (!root.has("partitions")) {
        root.markKnown("partitions");
        if (isRequired) {
            root.reportError("partitions",
                             "is required with a key rule or an operation that is not repeatable");
        }
        return 0;
    }
    const auto count = root.requiredInteger("partitions", 1, maxPartitions);
    if (count && !std::has_single_bit(static_cast<uint64_t>(*count))) {
        root.reportError("partitions", "must be a power of two");
    }
    return static_cast<int>(count.value_or(0));
}

std::vector<std::string> readRetiredInstances(object_reader &root)
{
    std::vector<std::string> retired;
    std::set<std::string> seen;
    for (auto &[path, instance] : root.stringArray("retired")) {
        if (!isRetiredInstance(instance)) {
            root.reportErrorAt(path, "must be 'name/incarnation' with 16 hexadecimal digits");
        } else if (!seen.insert(instance).second) {
            root.reportErrorAt(path, absl::StrCat("'", instance, "' is listed more than once"));
        }
        retired.push_back(std::move(instance));
    }
    return retired;
}

service_document readDocument(object_reader &root)
{
    service_document document;
    document.service = readName(root, "service");
    document.key = readOptionalKeyRule(root);
    document.checksGrants = root.booleanOr("checks_grants", false);
    unique_names rankNames;
    document.ranks = readRanks(root, rankNames);
    document.operations = readOperations(root, rankNames);
    const bool hasNonRepeatableOperation =
        std::any_of(document.operations.begin(), document.operations.end(),
                    [](const operation_rule &operation) { return !operation.repeatable; });
    document.partitions = readPartitions(root, root.has("key") || hasNonRepeatableOperation);
    document.retired = readRetiredInstances(root);
    root.reportUnknownFields();
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
            {"", absl::StrCat("has ", json.size(), " bytes, the maximum is ", maxDocumentBytes)});
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
