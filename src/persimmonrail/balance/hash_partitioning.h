#pragma once

#include "persimmonrail/base/key_hash.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Divides the hash space of a service into `count` ranges, in ascending order. Their sizes are
// equal or differ by one hash. Returns no range if `count` is 0.
std::vector<hash_range> divideHashSpace(size_t count);
// Returns the partition name of a range: "<service>/<first hash>".
std::string partitionName(std::string_view service, const hash_range &range);

} // namespace persimmonrail
