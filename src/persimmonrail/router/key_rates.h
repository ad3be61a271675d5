#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/keyspace/key_placement.h"

#include <array>
#include <atomic>
#include <vector>

namespace persimmonrail {

// Requests per second by key, over about the last half second. count() is thread safe, the rest
// belongs to one thread.
class key_rates
{
public:
    key_rates();

    void count(shard_key key) { m_counts[key].fetch_add(1, std::memory_order_relaxed); }
    // Folds the counts since the last call into the rates.
    void advance(steady_time now);
    double rate(shard_key key) const { return m_rates[key]; }

private:
    std::vector<std::atomic<uint16_t>> m_counts;
    std::vector<float> m_rates;
    steady_time m_advancedTo{};
};

} // namespace persimmonrail
