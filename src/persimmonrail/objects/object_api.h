#pragma once

#include "persimmonrail/base/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// One object of the platform's store. Versions are store-wide: every write, to any object, gets a
// higher version than all writes before.
struct stored_object
{
    std::string key;
    uint64_t version = 0;
    // True for a tombstone, which has no value.
    bool deleted = false;
    std::string value;
};

// Objects of a list, or changes of a watch.
struct object_list
{
    // The list covers every write up to this version.
    uint64_t revision = 0;
    std::vector<stored_object> objects;
    // How long before the call was sent the store certainly held this content; negative if it held
    // it later than that. 0 for a response of the store itself, nothing if it is not known.
    std::optional<milliseconds> age = milliseconds(0);
};

// The platform's object API as function objects, so that tests can replace them by fakes. The
// functions block and may be called from any thread.
//
// Errors common to all functions: Unavailable if the platform rejected the request or could not be
// reached, and a write certainly had no effect; Unknown if a write may have taken effect, in which
// case the caller must read the object back before drawing any conclusion; ResourceExhausted if the
// platform's rate limit is exceeded.
struct object_api
{
    // Returns the current object. Errors: NotFound.
    std::function<absl::StatusOr<stored_object>(const std::string &key)> get;
    // Writes the object if its current version is `expectedVersion`; 0 means that the object must
    // not exist. Returns the new version. Errors: Aborted if the version differs.
    std::function<absl::StatusOr<uint64_t>(const std::string &key, uint64_t expectedVersion,
                                           const std::string &value)>
        put;
    // Deletes the object if its current version is `expectedVersion`. Returns the version of the
    // deletion if the store reports one, else `expectedVersion`. Errors: Aborted if the version
    // differs.
    std::function<absl::StatusOr<uint64_t>(const std::string &key, uint64_t expectedVersion)>
        remove;
    // Returns all objects whose keys start with `prefix`.
    std::function<absl::StatusOr<object_list>(const std::string &prefix)> list;
    // Returns the changes after `revision` under `prefix`, deletions included. Waits up to `wait`
    // for the first change. Errors: OutOfRange if the store no longer has these changes, in which
    // case the caller must list the objects again.
    std::function<absl::StatusOr<object_list>(const std::string &prefix, uint64_t revision,
                                              milliseconds wait)>
        watch;
};

} // namespace persimmonrail
