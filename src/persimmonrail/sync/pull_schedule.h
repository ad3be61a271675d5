#pragma once

#include "persimmonrail/base/random_source.h"
#include "persimmonrail/sync/fleet_view.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

inline constexpr milliseconds pullInterval{250};
// One pull in this many goes to another availability zone of the region.
inline constexpr uint64_t otherZoneEvery = 8;
// One pull in this many goes to another region.
inline constexpr uint64_t otherRegionEvery = 32;

// Chooses the peer of each pull at random, mostly within the own availability zone.
//
// Belongs to the control thread.
class pull_schedule
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
        // Empty for a seed.
        std::string instance;
        std::string controlAddress;
    };

    // `seeds` are control addresses, used while no other member is known.
    pull_schedule(location self, std::vector<std::string> seeds, random_source random);

    // Returns nothing if there is neither another member nor a seed.
    std::optional<target> next(const fleet_view &view);

private:
    location m_self;
    std::vector<std::string> m_seeds;
    random_source m_random;
};

} // namespace persimmonrail
