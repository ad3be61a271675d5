#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/document/document_parser.h"
#include "persimmonrail/objects/object_api.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// The last valid document of a service, stored under the object key "accepted/<service>". Daemons
// apply only this copy.
struct accepted_document
{
    // Version of the object "config/<service>" that the text was copied from.
    uint64_t sourceVersion = 0;
    // JSON text of the service document.
    std::string document;

    bool operator==(const accepted_document &) const = default;
};

enum class document_state { Accepted, Rejected };

// Result of the validation of one version of a service's document, stored under the object key
// "status/<service>".
struct document_status
{
    // Version of the object "config/<service>" that was validated.
    uint64_t sourceVersion = 0;
    document_state state = document_state::Rejected;
    // Time of the validation in whole milliseconds. Only displayed to operators.
    wall_time decidedAt;
    // Empty if the document was accepted.
    std::vector<document_error> errors;

    bool operator==(const document_status &) const = default;
};

// These functions return the object keys of a service: "config/<service>", "accepted/<service>" and
// "status/<service>".
std::string configKey(std::string_view service);
std::string acceptedKey(std::string_view service);
std::string statusKey(std::string_view service);
// Returns "accepted" or "rejected".
std::string_view toString(document_state state);

// Returns the JSON form of an accepted document.
std::string encodeAccepted(const accepted_document &accepted);
// Errors: InvalidArgument if the text is not the JSON form of an accepted document.
absl::StatusOr<accepted_document> decodeAccepted(std::string_view text);

// Returns the JSON form of a document status.
std::string encodeStatus(const document_status &status);
// Errors: InvalidArgument if the text is not the JSON form of a document status.
absl::StatusOr<document_status> decodeStatus(std::string_view text);

// Objects that the coordinator has to write for one version of a document. Both members are set if
// the document is accepted; only `status` is set if the document is rejected or if the status of an
// accepted document has to be restored. Neither is set if nothing has to be written.
struct acceptance_decision
{
    std::optional<accepted_document> accepted;
    std::optional<document_status> status;

    bool isEmpty() const { return !accepted && !status; }
};

// Validates the stored document `config` (an object "config/<service>") and compares the document
// with `current`, the accepted copy in force. These rules apply:
// - A version is never accepted if it is equal to or lower than the accepted source version.
// - The number of partitions and the key rule cannot change once accepted, because the placement
//   records depend on them.
// - The document must name the service that its object key names.
// `currentStatus` is the stored status, or nullopt if none is stored. A version whose status is
// stored is not validated again, so the same status is not written twice. If the status of the
// accepted version is missing, because its write was lost after the accepted copy was written, the
// decision restores the status.
acceptance_decision decideAcceptance(const stored_object &config,
                                     const std::optional<accepted_document> &current,
                                     const std::optional<document_status> &currentStatus,
                                     wall_time now);

} // namespace persimmonrail
