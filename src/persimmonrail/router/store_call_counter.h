#pragma once

#include "persimmonrail/objects/object_api.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Counts the calls to the store, so that operators see how many each kind of object costs.

// A prefix of keys, and the name under which calls for these keys are counted.
struct counted_prefix
{
    std::string prefix;
    std::string name;
};

// Returns the name of the longest of the prefixes with which the key begins; "other" if there is
// none. Empty prefixes are ignored. So the number of names is bounded, whatever the keys are.
std::string_view countedName(const std::vector<counted_prefix> &prefixes, std::string_view key);

// Returns the objects that a router uses: members, placements, quarantines, the whole fleet, and
// those with the prefixes of the platform.
std::vector<counted_prefix> routerObjects(const std::string &desiredStatePrefix,
                                          const std::string &evacuationPrefix);

// Called before each call to the store with its kind (get, list, watch, create, update or delete)
// and the name of its object. Must be thread safe.
using store_call_hook = std::function<void(std::string_view call, std::string_view object)>;

// Returns a copy of `store` that reports its calls, failed ones included. A write is a `create` if
// it expects that the object does not exist.
object_api countStoreCalls(object_api store, std::vector<counted_prefix> prefixes,
                           store_call_hook onCall);

} // namespace persimmonrail
