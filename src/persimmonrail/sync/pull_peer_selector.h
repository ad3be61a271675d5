#pragma once

#include "persimmonrail/base/random_source.h"
#include "persimmonrail/sync/fleet_view.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// Interval between the pulls of one daemon.
inline constexpr milliseconds pullInterval{250};
// One in this number of pulls goes to another availability zone of the same region.
inline constexpr uint64_t pullsPerOtherZonePull = 8;
// One in this number of pulls goes to another region.
inline constexpr uint64_t pullsPerOtherRegionPull = 32;

// Chooses the peer of each pull at random, in most cases from the daemon's own availability zone.
//
// Not thread safe; used on the control thread only.
class pull_peer_selector
{
public:
    struct location
    {
        std::string instance;
        std::string availabilityZone;
        std::string region;
    };
    struct target
    {
        // Empty if the target is a seed, whose instance name is unknown.
        std::string instance;
        std::string controlAddress;
    };

    // `seeds` are the control addresses to pull from as long as no other member is known.
    pull_peer_selector(location self, std::vector<std::string> seeds, random_source random);

    // Returns the peer of the next pull, or nullopt if there is neither another member nor a seed.
    std::optional<target> next(const fleet_view &view);

private:
    location m_self;
    std::vector<std::string> m_seeds;
    random_source m_random;
};

} // namespace persimmonrail
