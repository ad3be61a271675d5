#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/keyspace/key_placement.h"

#include <array>
#include <atomic>
#include <vector>

namespace persimmonrail {

// Exponentially decaying rate of requests per second for each key, over a window of about half a
// second. count() is thread safe; all other functions must be called on one thread.
class key_rates
{
public:
    key_rates();

    void count(shard_key key) { m_counts[key].fetch_add(1, std::memory_order_relaxed); }
    // Adds the requests counted since the last call to the rates.
    void update(steady_time now);
    double rate(shard_key key) const { return m_rates[key]; }

private:
    std::vector<std::atomic<uint16_t>> m_counts;
    std::vector<float> m_rates;
    steady_time m_updatedAt{};
};

} // namespace persimmonrail
