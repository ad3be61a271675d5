#pragma once

#include "persimmonrail/objects/object_api.h"

#include <absl/status/statusor.h>

#include <Poco/JSON/Object.h>

#include <string>
#include <string_view>

namespace persimmonrail {

// Encodes the result of a list call, objects or error, as the JSON that daemons exchange. Deleted
// objects are left out.
Poco::JSON::Object encodeObjectList(const absl::StatusOr<object_list> &outcome);

// Decodes the JSON of encodeObjectList(). Errors: the encoded error; InvalidArgument if an entry of
// "objects" is not a JSON object. Throws Poco::Exception if a field is missing or cannot be
// converted; within decodeJson(), the result is InvalidArgument.
absl::StatusOr<object_list> decodeObjectList(const Poco::JSON::Object &object);

} // namespace persimmonrail
