#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonrail {

// Flattens a JSON object to pairs of path and value, such as {"witnesses[0].name", "ledger-1"}.
// Texts are given without quotes and with control characters escaped. Errors: InvalidArgument.
absl::StatusOr<std::vector<std::pair<std::string, std::string>>> flattenJson(std::string_view json);

} // namespace persimmonrail
