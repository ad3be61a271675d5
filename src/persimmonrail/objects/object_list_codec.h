#pragma once

#include "persimmonrail/objects/object_api.h"

#include <absl/status/statusor.h>

#include <Poco/JSON/Object.h>

#include <string>
#include <string_view>

namespace persimmonrail {

// The outcome of a call that ends with objects, as daemons tell it to each other in JSON. Objects
// that were deleted are left out.
Poco::JSON::Object encodeObjectList(const absl::StatusOr<object_list> &outcome);

// Errors: the one that was encoded; InvalidArgument if a field is missing or of another type.
absl::StatusOr<object_list> decodeObjectList(const Poco::JSON::Object &object);

} // namespace persimmonrail
