#pragma once

#include "persimmonrail/base/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace persimmonrail {

// One object of the platform's store. Versions are store-wide: each write gets a higher one.
struct stored_object
{
    std::string key;
    uint64_t version = 0;
    bool deleted = false;
    std::string value;
};

struct object_list
{
    // The list holds every write up to this version.
    uint64_t revision = 0;
    std::vector<stored_object> objects;
};

// The platform's object API as hooks, so that tests can put a fake in its place. Hooks block and
// may be called from any thread.
//
// Errors common to all: Unavailable if the platform refused or could not be reached and a write
// certainly had no effect; Unknown if a write may have taken effect, in which case the object must
// be read back before anything is concluded; ResourceExhausted if the platform's rate is exceeded.
struct object_api
{
    // Errors: NotFound.
    std::function<absl::StatusOr<stored_object>(const std::string &key)> get;
    // Writes if the current version is `expectedVersion`; 0 means that the object must not exist.
    // Returns the new version. Errors: Aborted if the version differs.
    std::function<absl::StatusOr<uint64_t>(const std::string &key, uint64_t expectedVersion,
                                           const std::string &value)>
        put;
    // Errors: Aborted if the version differs.
    std::function<absl::StatusOr<uint64_t>(const std::string &key, uint64_t expectedVersion)>
        remove;
    std::function<absl::StatusOr<object_list>(const std::string &prefix)> list;
    // Returns the changes after `revision`, waiting up to `wait` for the first one. Errors:
    // OutOfRange if the store no longer has them, in which case the caller lists anew.
    std::function<absl::StatusOr<object_list>(const std::string &prefix, uint64_t revision,
                                              milliseconds wait)>
        watch;
};

} // namespace persimmonrail
