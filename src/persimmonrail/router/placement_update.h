#pragma once

#include "persimmonrail/base/random_source.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/keyspace/placement_proposal.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/router/placement_write.h"

#include <functional>
#include <optional>

namespace persimmonrail {

struct placement_update
{
    placement_change change;
    std::string_view reason;
    // The update gives up after the first conflict that is found later than this.
    boot_time deadline{};
    // Whether the update gives up at the first write that is rejected as out of date, without a
    // read of the record that won.
    bool endsAtConflict = false;
};

// Hooks of updatePlacement(). All must be callable on its thread.
struct placement_update_hooks
{
    std::function<boot_time()> now;
    std::function<void(milliseconds time)> pause;
    random_source random;
};

struct placement_update_result
{
    write_result result = write_result::NotApplied;
    // Status of the last write; OK if nothing was written.
    absl::Status status;
    // Highest fence of the last placement that was written or tried.
    uint64_t fence = 0;
    // Writes that were superseded: another writer had changed the record, and its record was read.
    // If there is one, no unconfirmed write from before this update can take effect any more.
    int conflicts = 0;
    // The newest record that the store certainly held, and the send time of the call that showed
    // it. Nothing if no call showed a record. Until an unconfirmed write is decided, further writes
    // must expect this record or a newer one.
    std::optional<stored_object> object;
    boot_time confirmedAt{};
    // Whether another daemon may still write the same change, also after later changes of the
    // record. Only updateThroughWriter() sets this and the following members.
    bool isChangeOpen = false;
    // Whether another daemon wrote the change.
    bool isWriterUsed = false;
    // Whether another daemon reported that it wrote the change, and the record was not read.
    bool isRecordAwaited = false;
};

// Changes the placement record of `service` and of the epoch of `base` by conditional writes,
// beginning with the record `base`; version 0 stands for no record. After each conflict the change
// is computed again for the record that won, until a write succeeds, fails for another reason or
// has an unknown outcome, until nothing is left to change, or until the deadline. An update that
// `endsAtConflict` has the result Superseded after the first conflict, and no object. Many owners
// change the same record, so the time between a read and the next write is kept short, and writers
// that lose repeatedly pause for random times. Blocks.
placement_update_result updatePlacement(const object_api &store, const std::string &service,
                                        fleet_directory::versioned_placement base,
                                        const placement_update &update,
                                        const placement_update_hooks &hooks);

} // namespace persimmonrail
