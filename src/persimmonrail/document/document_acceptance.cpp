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
constexpr int maxStoredDepth = 8;

std::string toText(const Object &object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

absl::Status invalid(std::string_view what, const error_list &errors)
{
    return absl::InvalidArgumentError(
        absl::StrCat("invalid ", std::string(what), ": ", renderErrors(errors.errors())));
}

std::optional<int64_t> readVersion(object_reader &reader)
{
    return reader.integer("source_version", 1, std::numeric_limits<int64_t>::max() - 1);
}

bool isSameKey(const std::optional<key_rule> &a, const std::optional<key_rule> &b)
{
    if (!a || !b) {
        return a.has_value() == b.has_value();
    }
    return a->source == b->source && a->segment == b->segment && a->name == b->name;
}

// Rules that relate the new document to its storage key and to the accepted copy.
std::vector<document_error> checkAgainst(const service_document &document, std::string_view service,
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
    const auto inForce = parseServiceDocument(current->document);
    if (!inForce.document) {
        // A later release may have accepted a document that this one cannot read.
        errors.push_back({"", "the accepted document cannot be read by this release"});
        return errors;
    }
    if (!isSameKey(document.key, inForce.document->key)) {
        errors.push_back({"key", "cannot change once accepted"});
    }
    if (document.partitions != inForce.document->partitions) {
        errors.push_back(
            {"partitions",
             absl::StrCat("cannot change once accepted, must be ", inForce.document->partitions)});
    }
    return errors;
}

// The accepted copy stems from this version already; only its status may be outstanding.
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
    return toText(object);
}

absl::StatusOr<accepted_document> decodeAccepted(std::string_view text)
{
    error_list errors;
    const auto object = parseJsonObject(text, maxStoredDepth, errors);
    if (object.isNull()) {
        return invalid("accepted document", errors);
    }
    object_reader reader(object, "", errors);
    accepted_document accepted;
    accepted.sourceVersion = static_cast<uint64_t>(readVersion(reader).value_or(0));
    accepted.document = reader.text("document").value_or("");
    if (!errors.empty()) {
        return invalid("accepted document", errors);
    }
    return accepted;
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
    return toText(object);
}

absl::StatusOr<document_status> decodeStatus(std::string_view text)
{
    error_list faults;
    const auto object = parseJsonObject(text, maxStoredDepth, faults);
    if (object.isNull()) {
        return invalid("document status", faults);
    }
    object_reader reader(object, "", faults);
    document_status status;
    status.sourceVersion = static_cast<uint64_t>(readVersion(reader).value_or(0));
    const auto state = reader.text("state").value_or("");
    if (state != "accepted" && state != "rejected") {
        reader.fail("state", "must be 'accepted' or 'rejected'");
    }
    status.state = state == "accepted" ? document_state::Accepted : document_state::Rejected;
    // The clock counts nanoseconds, so larger values would overflow.
    constexpr int64_t maxDecidedAtMs = std::numeric_limits<int64_t>::max() / 1'000'000;
    status.decidedAt +=
        milliseconds(reader.integer("decided_at_ms", 0, maxDecidedAtMs).value_or(0));
    for (auto &entry : reader.objects("errors", false)) {
        auto path = entry.text("path");
        auto message = entry.text("message");
        status.errors.push_back({path.value_or(""), message.value_or("")});
    }
    if (!faults.empty()) {
        return invalid("document status", faults);
    }
    return status;
}

acceptance_decision decideAcceptance(const stored_object &config,
                                     const std::optional<accepted_document> &current,
                                     const std::optional<document_status> &currentStatus,
                                     wall_time now)
{
    now = std::chrono::floor<milliseconds>(now);
    acceptance_decision decision;
    const bool isConfig = config.key.starts_with(configPrefix);
    const bool isJudged = currentStatus && currentStatus->sourceVersion >= config.version;
    if (!isConfig || config.deleted || config.version == 0 || isJudged) {
        return decision;
    }
    if (current && current->sourceVersion >= config.version) {
        return restoreStatus(config, current, now);
    }
    const auto service = std::string_view(config.key).substr(configPrefix.size());
    auto parsed = parseServiceDocument(config.value);
    auto errors = parsed.document ? checkAgainst(*parsed.document, service, current)
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
