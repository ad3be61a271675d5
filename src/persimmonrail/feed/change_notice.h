#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <string>

namespace persimmonrail {

// What a daemon tells its followers about the objects under one prefix of the store, which the
// followers read from the store themselves. A follower that knows less has missed a response of the
// store.
struct change_notice
{
    std::string prefix;
    // Version of the newest change that the daemon has read; 0 if it has read none.
    uint64_t version = 0;
    // How long before the follower's call arrived the store last showed that there was no newer
    // change; negative if it showed that later.
    milliseconds age{0};

    bool operator==(const change_notice &) const = default;
};

} // namespace persimmonrail
