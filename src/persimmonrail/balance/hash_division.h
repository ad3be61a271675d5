#pragma once

#include "persimmonrail/base/key_hash.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Returns the `count` equal ranges that divide the hash space of a service.
std::vector<hash_range> equalRanges(size_t count);
// Returns "<service>/<first hash>".
std::string partitionName(std::string_view service, const hash_range &range);

} // namespace persimmonrail
