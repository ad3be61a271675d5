#include "persimmonrail/router/key_rates.h"

#include <cmath>

namespace persimmonrail {
namespace {

constexpr double memorySeconds = 1.0;
// Rates below this count as none, so that they need no further work.
constexpr float leastRate = 0.01F;

} // namespace

key_rates::key_rates()
    : m_counts(lastKey + 1)
    , m_rates(lastKey + 1)
{ }

void key_rates::advance(steady_time now)
{
    const double passed = std::chrono::duration<double>(now - m_advancedTo).count();
    if (passed <= 0) {
        return;
    }
    m_advancedTo = now;
    const auto kept = static_cast<float>(std::exp(-passed / memorySeconds));
    for (size_t key = 0; key < m_rates.size(); ++key) {
        float &rate = m_rates[key];
        const uint16_t counted = m_counts[key].load(std::memory_order_relaxed);
        if (counted > 0) {
            m_counts[key].fetch_sub(counted, std::memory_order_relaxed);
        } else if (rate == 0) {
            continue;
        }
        rate = rate * kept + static_cast<float>(counted / memorySeconds) * 1.0F;
        if (rate < leastRate) {
            rate = 0;
        }
    }
}

} // namespace persimmonrail
