#pragma once

#include "persimmonrail/router/placement_update.h"
#include "persimmonrail/router/placement_writer_client.h"

namespace persimmonrail {

// Passes a change to a writer; blocks.
using change_submitter = std::function<change_submission()>;

// Changes the placement record like updatePlacement(), but passes the change to a writer first. If
// the writer may have recorded it, the record is read, so that the own update only writes what the
// record lacks. `isChangeOpen` of the result tells whether the writer may still apply the change:
// then the keys of the change may be granted again only after a record is known on which the change
// has no effect. Blocks.
placement_update_result updateThroughWriter(const object_api &store, const std::string &service,
                                            fleet_directory::versioned_placement base,
                                            const placement_update &update,
                                            const change_submitter &submit,
                                            const placement_update_hooks &hooks);

} // namespace persimmonrail
