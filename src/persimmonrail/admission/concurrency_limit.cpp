#include "persimmonrail/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

constexpr int windowSize = 100;
// A slow upstream ends fewer requests; a window then ends early.
constexpr int shortWindowSize = 10;
constexpr milliseconds shortWindowTime{500};
// Latencies vary, so the mean of few answers may lie far from the usual one: for service times
// with a deviation equal to their mean, these bounds are 5 deviations above it at 100 answers.
constexpr double congestedRatio = 1.25;
constexpr double congestedSpread = 2.5;
constexpr double calmRatio = 1.15;
// Keeps one very slow answer from ending a window as congested.
constexpr double maxRatio = 10;
// A lower limit has helped if it took the latency below this share of the earlier one.
constexpr double helpedShare = 0.85;
// The usual latency adapts downwards by answers and upwards by time. At thousands of answers a
// second, a bound in answers made queues in the upstream pass for slower work within seconds.
constexpr double responsesToLearnDown = 1000;
// Until then the usual latency of a rank is the mean of all its answers, since a rank may have
// only a few answers in its first window.
constexpr int responsesToKnow = 400;
constexpr double secondsToLearnUp = 30;
constexpr double overloadFactor = 0.8;
// Requests in flight when the limit was lowered may still be refused within this time.
constexpr milliseconds overloadEcho{50};
constexpr milliseconds minRaisePause{500};
constexpr milliseconds maxRaisePause{8000};
constexpr milliseconds rampTime{10000};
constexpr double rampShare = 0.25;

} // namespace

concurrency_limit::concurrency_limit(int slots)
    : m_slots(slots)
    , m_limit(slots)
{ }

void concurrency_limit::setSlots(int slots)
{
    const bool wasFull = m_limit >= m_slots;
    m_slots = slots;
    m_limit = wasFull ? slots : std::min<double>(m_limit, slots);
}

void concurrency_limit::restart(steady_time now)
{
    m_limit = std::max(1.0, m_slots * rampShare);
    m_rampEnd = now + rampTime;
    m_isTrial = false;
    m_toIgnore = 0;
    discardWindow(now);
}

int concurrency_limit::current() const
{
    return std::clamp(static_cast<int>(std::lround(m_limit)), 1, m_slots);
}

void concurrency_limit::recordResponse(size_t rank, std::chrono::nanoseconds latency,
                                       steady_time now)
{
    if (m_toIgnore > 0) {
        --m_toIgnore;
        return;
    }
    if (rank >= m_ranks.size()) {
        m_ranks.resize(rank + 1);
    }
    if (m_windowCount == 0) {
        m_windowStart = now;
    }
    rank_latency &state = m_ranks[rank];
    const double seconds = std::chrono::duration<double>(latency).count();
    state.windowSum += seconds;
    ++state.windowCount;
    ++m_windowCount;
    if (state.usual > 0) {
        m_ratioSum += std::min(seconds / state.usual, maxRatio);
        ++m_ratioCount;
    }
    if (m_windowCount >= windowSize
        || (m_windowCount >= shortWindowSize && now - m_windowStart >= shortWindowTime)) {
        endWindow(now);
    }
}

void concurrency_limit::endWindow(steady_time now)
{
    const double ratio = m_ratioCount > 0 ? m_ratioSum / m_ratioCount : 1;
    const bool isRamp = now < m_rampEnd && m_limit < m_slots;
    if (ratio > congestedRatio + congestedSpread / std::sqrt(std::max(m_ratioCount, 1))) {
        // One window may exceed the bound by chance, two in a row hardly do. A cold upstream is
        // slow whatever the limit is.
        if (m_wasCongested && !isRamp) {
            lower(ratio);
        }
        m_wasCongested = true;
    } else {
        m_wasCongested = false;
        m_isTrial = false;
        learnUsual(now);
        if (ratio < calmRatio && now >= m_raiseAt) {
            m_limitBeforeRaise = m_limit;
            m_limit = std::min<double>(m_limit + 1, m_slots);
            if (m_limit >= m_slots) {
                m_raisePause = milliseconds(0);
            }
        }
    }
    discardWindow(now);
}

void concurrency_limit::lower(double ratio)
{
    if (m_isTrial && ratio > helpedShare * m_ratioBeforeTrial) {
        for (rank_latency &rank : m_ranks) {
            rank.usual *= ratio;
        }
        m_limit = std::min<double>(m_limitBeforeTrial, m_slots);
        m_isTrial = false;
        return;
    }
    m_isTrial = true;
    m_limitBeforeTrial = m_limit;
    m_ratioBeforeTrial = ratio;
    m_toIgnore = current();
    m_limit = std::max(1.0, m_limit * std::max(0.5, 1 / ratio));
}

void concurrency_limit::learnUsual(steady_time now)
{
    const double seconds = std::chrono::duration<double>(now - m_windowStart).count();
    for (rank_latency &rank : m_ranks) {
        if (rank.windowCount == 0) {
            continue;
        }
        const double mean = rank.windowSum / rank.windowCount;
        rank.responses += rank.windowCount;
        if (rank.responses <= responsesToKnow) {
            rank.usual += (mean - rank.usual) * rank.windowCount / rank.responses;
        } else {
            const double weight = mean > rank.usual ? seconds / secondsToLearnUp
                                                    : rank.windowCount / responsesToLearnDown;
            rank.usual += (mean - rank.usual) * std::min(1.0, weight);
        }
    }
}

void concurrency_limit::discardWindow(steady_time now)
{
    for (rank_latency &rank : m_ranks) {
        rank.windowSum = 0;
        rank.windowCount = 0;
    }
    m_ratioSum = 0;
    m_ratioCount = 0;
    m_windowCount = 0;
    m_windowStart = now;
}

void concurrency_limit::noteOverload(steady_time now)
{
    if (now < m_ignoreOverloadUntil) {
        return;
    }
    m_ignoreOverloadUntil = now + overloadEcho;
    if (m_limitBeforeRaise > 0) {
        // Only the last raise was too much.
        m_limit = m_limitBeforeRaise;
        m_limitBeforeRaise = 0;
    } else {
        m_limit = std::max(1.0, std::min(m_limit * overloadFactor, m_limit - 1));
    }
    // Each attempt to go above what the upstream takes costs a refused request, so the attempts
    // become rarer while they fail.
    m_raisePause = std::clamp(m_raisePause * 2, minRaisePause, maxRaisePause);
    m_raiseAt = now + m_raisePause;
}

} // namespace persimmonrail
