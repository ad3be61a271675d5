#pragma once

#include "persimmonrail/router/placement_update.h"
#include "persimmonrail/router/placement_writer_client.h"

namespace persimmonrail {

// Passes a change to a writer; blocks.
using change_submitter = std::function<change_submission()>;

// Time for which an owner waits for the record that a writer has reported, before it reads the
// record itself. Relays watch the store every 150 ms (relayed_watch_options), so the record mostly
// arrives in half that time.
inline constexpr milliseconds recordWaitTime{300};

// Changes the placement record like updatePlacement(), but passes the change to a writer first. If
// the writer reports that it has recorded the change, no call is sent to the store: the result has
// no object, and `isRecordAwaited` is set. If it may have recorded the change, the record is read,
// so that the own update only writes what the record lacks. `isChangeOpen` of the result tells
// whether a record with the change may still be written, or is not known here yet: then the keys of
// the change may be granted again only after a record is known on which the change has no effect.
// Blocks.
placement_update_result updateThroughWriter(const object_api &store, const std::string &service,
                                            fleet_directory::versioned_placement base,
                                            const placement_update &update,
                                            const change_submitter &submit,
                                            const placement_update_hooks &hooks);

// Returns a submitter for a change whose outcome at its writer is unknown, so that
// updateThroughWriter() reads the record first.
change_submitter alreadySubmitted();

} // namespace persimmonrail
