#include "persimmonrail/document/document_acceptance.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/document/json_reader.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <absl/strings/str_cat.h>

#include <limits>
#include <sstream>

namespace persimmonrail {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::string_view configPrefix = "config/";
constexpr int maxStoredJsonDepth = 8;

std::string toJson(const Object &object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

// Returns an InvalidArgument status that lists `errors`.
absl::Status invalidArgument(std::string_view description, const error_list &errors)
{
    return absl::InvalidArgumentError(
        absl::StrCat("invalid ", std::string(description), ": ", renderErrors(errors.errors())));
}

std::optional<int64_t> readSourceVersion(object_reader &reader)
{
    return reader.requiredInteger("source_version", 1, std::numeric_limits<int64_t>::max() - 1);
}

accepted_document readAccepted(object_reader &reader)
{
    accepted_document accepted;
    accepted.sourceVersion = static_cast<uint64_t>(readSourceVersion(reader).value_or(0));
    accepted.document = reader.requiredString("document").value_or("");
    return accepted;
}

document_status readStatus(object_reader &reader)
{
    document_status status;
    status.sourceVersion = static_cast<uint64_t>(readSourceVersion(reader).value_or(0));
    const auto state = reader.requiredString("state").value_or("");
    if (state != "accepted" && state != "rejected") {
        reader.reportError("state", "must be 'accepted' or 'rejected'");
    }
    status.state = state == "accepted" ? document_state::Accepted : document_state::Rejected;
    // The clock counts nanoseconds in 64 bits, so larger values would overflow.
    constexpr int64_t maxDecidedAtMs = std::numeric_limits<int64_t>::max() / 1'000'000;
    status.decidedAt +=
        milliseconds(reader.requiredInteger("decided_at_ms", 0, maxDecidedAtMs).value_or(0));
    for (auto &entry : reader.objectArray("errors", false)) {
        auto path = entry.requiredString("path");
        auto message = entry.requiredString("message");
        status.errors.push_back({path.value_or(""), message.value_or("")});
    }
    return status;
}

// Decodes a stored JSON object with `read`, which reports invalid fields to the reader. Errors:
// InvalidArgument, with all errors, if the text or a field is invalid.
template <typename Value>
absl::StatusOr<Value> decodeObject(std::string_view text, std::string_view description,
                                   Value (*read)(object_reader &reader))
{
    error_list errors;
    const auto object = parseJsonObject(text, maxStoredJsonDepth, errors);
    if (object.isNull()) {
        return invalidArgument(description, errors);
    }
    object_reader reader(object, "", errors);
    Value value = read(reader);
    if (!errors.empty()) {
        return invalidArgument(description, errors);
    }
    return value;
}

bool isSameKeyRule(const std::optional<key_rule> &a, const std::optional<key_rule> &b)
{
    if (!a || !b) {
        return a.has_value() == b.has_value();
    }
    return a->source == b->source && a->segment == b->segment && a->name == b->name;
}

// Returns the errors of a valid document with respect to the service of its object key and to the
// accepted copy.
std::vector<document_error> checkAgainstAccepted(const service_document &document,
                                                 std::string_view service,
                                                 const std::optional<accepted_document> &current)
{
    std::vector<document_error> errors;
    if (document.service != service) {
        errors.push_back({"service",
                          absl::StrCat("must be '", std::string(service),
                                       "', the service that the document is stored for")});
    }
    if (!current) {
        return errors;
    }
    const auto acceptedDocument = parseServiceDocument(current->document);
    if (!acceptedDocument.document) {
        // A later release of the daemon may have accepted a document that this release cannot read.
        errors.push_back({"", "the accepted document cannot be read by this release"});
        return errors;
    }
    if (!isSameKeyRule(document.key, acceptedDocument.document->key)) {
        errors.push_back({"key", "cannot change once accepted"});
    }
    if (document.partitions != acceptedDocument.document->partitions) {
        errors.push_back({"partitions",
                          absl::StrCat("cannot change once accepted, must be ",
                                       acceptedDocument.document->partitions)});
    }
    return errors;
}

// Handles a version that is not newer than the accepted one. If both versions are equal, only
// the status is written, since its write may have failed.
acceptance_decision restoreStatus(const stored_object &config,
                                  const std::optional<accepted_document> &current, wall_time now)
{
    acceptance_decision decision;
    if (config.version == current->sourceVersion) {
        decision.status = {config.version, document_state::Accepted, now, {}};
    }
    return decision;
}

} // namespace

std::string configKey(std::string_view service)
{
    return absl::StrCat(toAbsl(configPrefix), toAbsl(service));
}

std::string acceptedKey(std::string_view service)
{
    return absl::StrCat("accepted/", toAbsl(service));
}

std::string statusKey(std::string_view service)
{
    return absl::StrCat("status/", toAbsl(service));
}

std::string_view toString(document_state state)
{
    return state == document_state::Accepted ? "accepted" : "rejected";
}

std::string encodeAccepted(const accepted_document &accepted)
{
    Object object;
    object.set("source_version", accepted.sourceVersion);
    object.set("document", accepted.document);
    return toJson(object);
}

absl::StatusOr<accepted_document> decodeAccepted(std::string_view text)
{
    return decodeObject<accepted_document>(text, "accepted document", readAccepted);
}

std::string encodeStatus(const document_status &status)
{
    Array::Ptr errors = new Array;
    for (const auto &error : status.errors) {
        Object::Ptr entry = new Object;
        entry->set("path", error.path);
        entry->set("message", error.message);
        errors->add(entry);
    }
    const auto sinceEpoch =
        std::chrono::duration_cast<milliseconds>(status.decidedAt.time_since_epoch());
    Object object;
    object.set("source_version", status.sourceVersion);
    object.set("state", std::string(toString(status.state)));
    object.set("decided_at_ms", static_cast<Poco::Int64>(sinceEpoch.count()));
    object.set("errors", errors);
    return toJson(object);
}

absl::StatusOr<document_status> decodeStatus(std::string_view text)
{
    return decodeObject<document_status>(text, "document status", readStatus);
}

acceptance_decision decideAcceptance(const stored_object &config,
                                     const std::optional<accepted_document> &current,
                                     const std::optional<document_status> &currentStatus,
                                     wall_time now)
{
    now = std::chrono::floor<milliseconds>(now);
    acceptance_decision decision;
    const bool isConfigKey = config.key.starts_with(configPrefix);
    const bool hasStatus = currentStatus && currentStatus->sourceVersion >= config.version;
    if (!isConfigKey || config.deleted || config.version == 0 || hasStatus) {
        return decision;
    }
    if (current && current->sourceVersion >= config.version) {
        return restoreStatus(config, current, now);
    }
    const auto service = std::string_view(config.key).substr(configPrefix.size());
    auto parsed = parseServiceDocument(config.value);
    auto errors = parsed.document ? checkAgainstAccepted(*parsed.document, service, current)
                                  : std::move(parsed.errors);
    if (!errors.empty()) {
        decision.status = {config.version, document_state::Rejected, now, std::move(errors)};
        return decision;
    }
    decision.accepted = {config.version, config.value};
    decision.status = {config.version, document_state::Accepted, now, {}};
    return decision;
}

} // namespace persimmonrail
