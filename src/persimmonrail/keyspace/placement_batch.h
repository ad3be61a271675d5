#pragma once

#include "persimmonrail/base/boot_clock.h"
#include "persimmonrail/base/clock.h"
#include "persimmonrail/keyspace/range_plan.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Changes of the placement record that owners pass to the daemon that writes them together, and the
// messages about them. The functions read no clock and are thread safe.

// Keys that an owner has released, with their next owner.
struct released_move
{
    key_interval keys;
    // Fence under which the keys were recorded for the owner when it released them.
    uint64_t fence = 0;
    upstream_id target;
    std::string handover;

    bool operator==(const released_move &) const = default;
};

// A change of the placement record: the moves of the keys that one owner has released.
struct owner_change
{
    upstream_id owner;
    // Epoch of the store in which the keys were recorded for the owner.
    uint64_t epoch = 0;
    std::vector<released_move> moves;

    bool operator==(const owner_change &) const = default;
};

// Proof that the sender of a change was running at a moment that the writer knows by its own clock.
// The sender asks the writer for it right before it sends the change.
struct writer_ticket
{
    // Number of the writer's process.
    uint64_t run = 0;
    // Time of the boot clock of the writer's host when it issued the ticket.
    milliseconds issuedAt{0};

    bool operator==(const writer_ticket &) const = default;
};

// Message from an owner's daemon to the writer.
struct change_request
{
    std::string service;
    owner_change change;
    writer_ticket ticket;
};

// What became of a change at the writer.
enum class change_outcome {
    // The record holds the result of the change.
    Recorded,
    // The writer has not written the change and will not do so.
    NotApplied,
    // The writer may have written the change, or may still do so.
    Unknown,
};

// Response of the writer.
struct change_response
{
    change_outcome outcome = change_outcome::Unknown;
    // Version of a record that holds the result; 0 unless the outcome is Recorded.
    uint64_t version = 0;
};

// Bounds of one change. A larger one is written by its owner.
inline constexpr size_t maxChangeMoves = 256;
inline constexpr size_t maxChangeBytes = 256 * 1024;

std::string_view toString(change_outcome outcome);

// Each of the messages is a JSON object. Members that are not known are ignored, so that later
// releases may add some. Errors of the parsers: InvalidArgument if the text is malformed, has no
// moves or exceeds a bound.
std::string encodeTicket(const writer_ticket &ticket);
absl::StatusOr<writer_ticket> parseTicket(std::string_view json);
std::string encodeChangeRequest(const change_request &request);
absl::StatusOr<change_request> parseChangeRequest(std::string_view json);
std::string encodeChangeResponse(const change_response &response);
absl::StatusOr<change_response> parseChangeResponse(std::string_view json);

// Returns the placement after the change. Keys that the owner no longer owns under the fence of
// their release stay as they are, so a change that is applied twice or late has no effect. The
// placement must belong to the epoch of the change.
key_placement applyChange(key_placement placement, const owner_change &change);

// Returns whether the change has no effect on the placement (any more): each of its keys has been
// moved, or the owner no longer owns it under the fence of its release. No later placement of the
// epoch is changed by it either, since no fence is given out twice.
bool isSettled(const key_placement &placement, const owner_change &change);

// Returns the placement after all changes of `epoch`, in their order; nothing if none has an
// effect.
std::optional<key_placement> applyChanges(const key_placement &current, uint64_t epoch,
                                          const std::vector<owner_change> &changes);

// Returns a placement in which the owner keeps those keys of the change that it still owns, under a
// new fence. The change has no effect on it or on any later placement, so the owner may grant the
// keys again once the placement is written.
key_placement withdrawChange(key_placement placement, const owner_change &change);

} // namespace persimmonrail
