#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonrail {

// Flattens a JSON object to pairs of path and value, such as {"witnesses[0].name", "ledger-1"}.
// String values are not quoted; control characters in names and values are escaped as \xNN.
// Errors: InvalidArgument if the text is not a JSON object.
absl::StatusOr<std::vector<std::pair<std::string, std::string>>> flattenJson(std::string_view json);

} // namespace persimmonrail
