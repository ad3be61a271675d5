#include "persimmonrail/router/key_rates.h"

#include <cmath>

namespace persimmonrail {
namespace {

// Time constant of the decay. A hot key range shows within this time, and at a few hundred requests
// a second the window holds enough requests for a steady rate.
constexpr double decayTimeSeconds = 0.5;
// Rates below this value are set to 0, so that update() skips their keys.
constexpr float minRate = 0.01F;

} // namespace

key_rates::key_rates()
    : m_counts(lastKey + 1)
    , m_rates(lastKey + 1)
{ }

void key_rates::update(steady_time now)
{
    const double elapsedSeconds = std::chrono::duration<double>(now - m_updatedAt).count();
    if (elapsedSeconds <= 0) {
        return;
    }
    m_updatedAt = now;
    const double decay = std::exp(-elapsedSeconds / decayTimeSeconds);
    const double weight = (1 - decay) / elapsedSeconds;
    for (size_t key = 0; key < m_rates.size(); ++key) {
        float &rate = m_rates[key];
        const uint16_t newRequests = m_counts[key].load(std::memory_order_relaxed);
        if (newRequests > 0) {
            m_counts[key].fetch_sub(newRequests, std::memory_order_relaxed);
        } else if (rate == 0) {
            continue;
        }
        rate = static_cast<float>(rate * decay + newRequests * weight);
        if (rate < minRate) {
            rate = 0;
        }
    }
}

} // namespace persimmonrail
