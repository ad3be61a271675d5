#pragma once

#include "persimmonrail/objects/object_api.h"

#include <string>

namespace persimmonrail {

// Largest size of a value that the platform stores.
inline constexpr size_t maxObjectBytes = 1'000'000;

// Returns the object API of the platform at `address` ("ip:port") over HTTP. All threads share a
// pool of persistent connections; concurrent calls use separate connections. `timeout` bounds
// connecting and every wait for data; the `wait` of a watch is added to `timeout`. If `address` is
// not "ip:port", every call fails with InvalidArgument.
//
// Errors in addition to those of object_api: InvalidArgument if the platform rejects the key or
// the value as invalid; DataLoss if the response to a read is malformed. A malformed response to a
// write is Unknown, since the write may have taken effect. A read that fails on a reused connection
// is sent once more on a new connection; a write is sent only once.
object_api makeHttpObjectApi(const std::string &address, milliseconds timeout);

// What readBack() found out about an earlier write.
enum class read_back_state {
    // The object holds the written value at a version above the expected version.
    Written,
    // The object still has the expected version. The write may still take effect later.
    NotWritten,
    // The object holds another value or was deleted. The write either lost against a concurrent
    // write or has been overwritten since.
    Replaced,
};

struct read_back_result
{
    read_back_state state = read_back_state::NotWritten;
    // Current version of the object; 0 if the object does not exist.
    uint64_t version = 0;
};

// Reads the object after a `put` that returned Unknown and compares the object with the written
// value. Errors: those of object_api::get except NotFound.
absl::StatusOr<read_back_result> readBack(const object_api &api, const std::string &key,
                                          uint64_t expectedVersion, const std::string &value);

} // namespace persimmonrail
