#include "standins/message_seeds.h"

#include <cstdlib>
#include <sstream>

namespace persimmonrail {

std::vector<uint64_t> messageSeeds()
{
    const char *text = std::getenv("PERSIMMONRAIL_MESSAGE_SEEDS");
    std::istringstream range(text != nullptr ? text : "1 2");
    uint64_t first = 1;
    uint64_t last = 0;
    range >> first >> last;
    std::vector<uint64_t> seeds;
    for (uint64_t seed = first; seed <= last; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

} // namespace persimmonrail
