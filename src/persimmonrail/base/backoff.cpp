#include "persimmonrail/base/backoff.h"

#include <algorithm>

namespace persimmonrail {

backoff::backoff(milliseconds initialDelay, milliseconds maxDelay, random_source random)
    : m_initialDelay(initialDelay)
    , m_maxDelay(maxDelay)
    , m_maxNextDelay(initialDelay)
    , m_random(std::move(random))
{ }

milliseconds backoff::next()
{
    const auto upper = m_maxNextDelay;
    m_maxNextDelay = std::min(m_maxDelay, m_maxNextDelay * 2);
    const auto lower = upper / 2;
    return lower
        + milliseconds(randomBelow(m_random, static_cast<uint64_t>((upper - lower).count()) + 1));
}

void backoff::reset()
{
    m_maxNextDelay = m_initialDelay;
}

} // namespace persimmonrail
