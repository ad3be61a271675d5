#include "persimmonrail/router/key_rates.h"

#include <cmath>

namespace persimmonrail {
namespace {

// A hot area is noticed within this time; at some hundred requests a second it holds enough of them
// for a steady figure.
constexpr double memorySeconds = 0.5;
// Rates below this count as none, so that they need no further work.
constexpr float minRate = 0.01F;

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
    const double kept = std::exp(-passed / memorySeconds);
    const double weight = (1 - kept) / passed;
    for (size_t key = 0; key < m_rates.size(); ++key) {
        float &rate = m_rates[key];
        const uint16_t counted = m_counts[key].load(std::memory_order_relaxed);
        if (counted > 0) {
            m_counts[key].fetch_sub(counted, std::memory_order_relaxed);
        } else if (rate == 0) {
            continue;
        }
        rate = static_cast<float>(rate * kept + counted * weight);
        if (rate < minRate) {
            rate = 0;
        }
    }
}

} // namespace persimmonrail
