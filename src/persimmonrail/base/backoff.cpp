#include "persimmonrail/base/backoff.h"

#include <algorithm>

namespace persimmonrail {

backoff::backoff(milliseconds initial, milliseconds maximum, random_source random)
    : m_initial(initial)
    , m_maximum(maximum)
    , m_current(initial)
    , m_random(std::move(random))
{ }

milliseconds backoff::next()
{
    const auto upper = m_current;
    m_current = std::min(m_maximum, m_current * 2);
    const auto lower = upper / 2;
    return lower
        + milliseconds(randomBelow(m_random, static_cast<uint64_t>((upper - lower).count()) + 1));
}

void backoff::reset()
{
    m_current = m_initial;
}

} // namespace persimmonrail
