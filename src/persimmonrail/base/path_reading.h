#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace persimmonrail {

// Returns whether readers may differ about the path: it has a percent-encoding, a dot segment or an
// empty segment.
bool hasSeveralReadings(std::string_view path);

// Returns the path as a reader sees it that decodes percent-encodings, also those of slashes,
// leaves out empty segments and resolves dot segments. Errors: InvalidArgument if a
// percent-encoding is invalid.
absl::StatusOr<std::string> decodePath(std::string_view path);

} // namespace persimmonrail
