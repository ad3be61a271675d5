#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace persimmonrail {

// Renders the JSON of a router daemon's explanation as text for people. Control characters are
// escaped. Errors: InvalidArgument if the text is not an explanation.
absl::StatusOr<std::string> renderExplanationText(std::string_view json);

} // namespace persimmonrail
