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

// The last valid document of a service, stored under "accepted/<service>". Daemons enforce this
// copy only.
struct accepted_document
{
    // Version of "config/<service>" that the text was taken from.
    uint64_t sourceVersion = 0;
    std::string document;

    bool operator==(const accepted_document &) const = default;
};

enum class document_state { Accepted, Rejected };

// Verdict on one version of a service's document, stored under "status/<service>".
struct document_status
{
    // Version of "config/<service>" that was judged.
    uint64_t sourceVersion = 0;
    document_state state = document_state::Rejected;
    // Time of the verdict, in whole milliseconds; informs operators only.
    wall_time decidedAt;
    // Empty if the document was accepted.
    std::vector<document_error> errors;

    bool operator==(const document_status &) const = default;
};

std::string configKey(std::string_view service);
std::string acceptedKey(std::string_view service);
std::string statusKey(std::string_view service);
// Returns "accepted" or "rejected".
std::string_view toString(document_state state);

std::string encodeAccepted(const accepted_document &accepted);
// Errors: InvalidArgument.
absl::StatusOr<accepted_document> decodeAccepted(std::string_view text);

std::string encodeStatus(const document_status &status);
// Errors: InvalidArgument.
absl::StatusOr<document_status> decodeStatus(std::string_view text);

// What the coordinator has to write for one version of a document. Accepting a document sets both
// members; rejecting it sets `status` alone; if neither is set there is nothing to do.
struct acceptance_decision
{
    std::optional<accepted_document> accepted;
    std::optional<document_status> status;

    bool isNothingToDo() const { return !accepted && !status; }
};

// Judges the stored document `config` (an object "config/<service>") against the accepted copy in
// force. A source version at or below the accepted one is never accepted; the partition count and
// the key rule cannot change once accepted, because placement records depend on them; the document
// must name the service of its key. `currentStatus` avoids writing the same verdict twice and
// restores a status whose write was lost after the accepted copy was written; pass nullopt if none
// is stored.
acceptance_decision decideAcceptance(const stored_object &config,
                                     const std::optional<accepted_document> &current,
                                     const std::optional<document_status> &currentStatus,
                                     wall_time now);

} // namespace persimmonrail
