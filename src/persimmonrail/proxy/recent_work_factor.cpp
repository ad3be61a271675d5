#include "persimmonrail/proxy/recent_work_factor.h"

namespace persimmonrail {
namespace {

// Spans in which an upstream is slow last about this long.
constexpr milliseconds factorLifetime{400};
// A factor outside these bounds is taken for an error, since it would make expected times useless.
constexpr double minFactor = 0.1;
constexpr double maxFactor = 100;

} // namespace

void recent_work_factor::record(double factor, steady_time now)
{
    // The comparison is false for NaN.
    if (factor >= minFactor && factor <= maxFactor) {
        m_factor = factor;
        m_recordedAt = now;
    }
}

double recent_work_factor::factor(steady_time now) const
{
    return now - m_recordedAt < factorLifetime ? m_factor : 1;
}

} // namespace persimmonrail
