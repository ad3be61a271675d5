#pragma once

#include "persimmonrail/objects/object_api.h"

#include <string>

namespace persimmonrail {

// Largest value that the platform stores.
inline constexpr size_t maxObjectBytes = 1'000'000;

// Returns the object API over HTTP at `address` ("ip:port"). Connections are kept alive and shared
// by all threads; each call has one for itself. `timeout` bounds connecting and every wait for
// data; a watch waits for its own time in addition. An address that is not "ip:port" makes every
// call fail with InvalidArgument.
//
// Errors in addition to those of object_api: InvalidArgument if the platform refuses the key or
// value as such; DataLoss if the answer to a read is malformed. A malformed answer to a write is
// Unknown, since the write may have taken effect. A read that fails on a reused connection is sent
// once more on a new one; a write is sent once only.
object_api makeHttpObjectApi(const std::string &address, milliseconds timeout);

enum class read_back_state {
    // The object holds the value, at a version above the expected one.
    Written,
    // The object is as it was before the write. The write may still take effect later.
    NotWritten,
    // The object holds another value or was deleted. The write either lost against another one or
    // was replaced since.
    Replaced,
};

struct read_back_result
{
    read_back_state state = read_back_state::NotWritten;
    // Current version of the object; 0 if it does not exist.
    uint64_t version = 0;
};

// Reads an object after a `put` with status Unknown and compares it with what was written.
// Errors: those of object_api::get other than NotFound.
absl::StatusOr<read_back_result> readBack(const object_api &api, const std::string &key,
                                          uint64_t expectedVersion, const std::string &value);

} // namespace persimmonrail
