#include "persimmonrail/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// A window ends after this many responses.
constexpr int windowResponses = 100;
// At a low rate of responses, a window ends with fewer responses, after shortWindowTime.
constexpr int shortWindowResponses = 10;
constexpr milliseconds shortWindowTime{500};
// A window is congested if its mean ratio of latency to baseline exceeds
// congestedRatio + congestedDeviation / sqrt(responses). The second term allows for the variance of
// a mean of few responses: if the standard deviation of the service time equals its mean, the bound
// for 100 responses is 5 standard deviations of their mean above the baseline.
constexpr double congestedRatio = 1.25;
constexpr double congestedDeviation = 2.5;
// The limit increases only after windows with a mean ratio below this value.
constexpr double maxIncreaseRatio = 1.15;
// Bounds the ratio of a single response, so that one very slow response does not make a window
// congested.
constexpr double maxRatio = 10;
// A decrease of the limit was effective if the mean ratio is at most this multiple of the ratio
// before the decrease.
constexpr double effectiveDecreaseRatio = 0.85;
// The baseline falls by the number of responses, and rises by time. At thousands of responses a
// second, a rise by the number of responses would take queueing in the upstream for a longer
// service time within seconds.
constexpr double baselineDecreaseResponses = 1000;
// The baseline of a rank is the mean of all its responses up to this number, because the first
// window may contain only a few responses of the rank.
constexpr int baselineInitialResponses = 400;
constexpr double baselineIncreaseSeconds = 30;
// Factor of the limit after an overload.
constexpr double overloadDecreaseFactor = 0.8;
// Further overloads within this time after a recorded overload are ignored, because the upstream
// may still reject requests that were in flight when the limit decreased.
constexpr milliseconds overloadIgnoreTime{50};
constexpr milliseconds minIncreaseDelay{500};
constexpr milliseconds maxIncreaseDelay{8000};
// High latencies do not decrease the limit within this time after a restart of the upstream, as
// long as the limit is below the slots.
constexpr milliseconds warmUpTime{10000};
// Share of the slots with which the limit starts after a restart of the upstream.
constexpr double initialWarmUpShare = 0.25;

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
    m_limit = std::max(1.0, m_slots * initialWarmUpShare);
    m_warmUpEnd = now + warmUpTime;
    m_isDecreaseOnTrial = false;
    m_staleResponses = 0;
    resetWindow(now);
}

int concurrency_limit::current() const
{
    return std::clamp(static_cast<int>(std::lround(m_limit)), 1, m_slots);
}

void concurrency_limit::recordResponse(size_t rank, std::chrono::nanoseconds latency,
                                       steady_time now)
{
    if (m_staleResponses > 0) {
        --m_staleResponses;
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
    if (state.baseline > 0) {
        m_ratioSum += std::min(seconds / state.baseline, maxRatio);
        ++m_ratioCount;
    }
    if (m_windowCount >= windowResponses
        || (m_windowCount >= shortWindowResponses && now - m_windowStart >= shortWindowTime)) {
        endWindow(now);
    }
}

void concurrency_limit::endWindow(steady_time now)
{
    const double ratio = m_ratioCount > 0 ? m_ratioSum / m_ratioCount : 1;
    const bool isWarmingUp = now < m_warmUpEnd && m_limit < m_slots;
    if (ratio > congestedRatio + congestedDeviation / std::sqrt(std::max(m_ratioCount, 1))) {
        // A single window may exceed the bound by chance; two consecutive windows rarely do. During
        // warm-up the upstream is slow at any limit.
        if (m_wasLastWindowCongested && !isWarmingUp) {
            decrease(ratio);
        }
        m_wasLastWindowCongested = true;
    } else {
        m_wasLastWindowCongested = false;
        m_isDecreaseOnTrial = false;
        updateBaselines(now);
        if (ratio < maxIncreaseRatio && now >= m_nextIncreaseAt) {
            m_limitBeforeIncrease = m_limit;
            m_limit = std::min<double>(m_limit + 1, m_slots);
            if (m_limit >= m_slots) {
                m_increaseDelay = milliseconds(0);
            }
        }
    }
    resetWindow(now);
}

// Decreases the limit for a mean ratio of latency to baseline. If the previous decrease was not
// effective, the requests themselves take longer; the function then restores the limit from before
// that decrease and scales the baselines by `ratio` instead.
void concurrency_limit::decrease(double ratio)
{
    if (m_isDecreaseOnTrial && ratio > effectiveDecreaseRatio * m_ratioBeforeDecrease) {
        for (rank_latency &rank : m_ranks) {
            rank.baseline *= ratio;
        }
        m_limit = std::min<double>(m_limitBeforeDecrease, m_slots);
        m_isDecreaseOnTrial = false;
        return;
    }
    m_isDecreaseOnTrial = true;
    m_limitBeforeDecrease = m_limit;
    m_ratioBeforeDecrease = ratio;
    m_staleResponses = current();
    m_limit = std::max(1.0, m_limit * std::max(0.5, 1 / ratio));
}

// Includes the latencies of the present window, which is not congested, in the baselines.
void concurrency_limit::updateBaselines(steady_time now)
{
    const double seconds = std::chrono::duration<double>(now - m_windowStart).count();
    for (rank_latency &rank : m_ranks) {
        if (rank.windowCount == 0) {
            continue;
        }
        const double mean = rank.windowSum / rank.windowCount;
        rank.responseCount += rank.windowCount;
        if (rank.responseCount <= baselineInitialResponses) {
            rank.baseline += (mean - rank.baseline) * rank.windowCount / rank.responseCount;
        } else {
            const double weight = mean > rank.baseline
                ? seconds / baselineIncreaseSeconds
                : rank.windowCount / baselineDecreaseResponses;
            rank.baseline += (mean - rank.baseline) * std::min(1.0, weight);
        }
    }
}

void concurrency_limit::resetWindow(steady_time now)
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

void concurrency_limit::recordOverload(steady_time now)
{
    if (now < m_ignoreOverloadUntil) {
        return;
    }
    m_ignoreOverloadUntil = now + overloadIgnoreTime;
    if (m_limitBeforeIncrease > 0) {
        // The limit before the last increase is assumed to be sustainable.
        m_limit = m_limitBeforeIncrease;
        m_limitBeforeIncrease = 0;
    } else {
        m_limit = std::max(1.0, std::min(m_limit * overloadDecreaseFactor, m_limit - 1));
    }
    // Each increase beyond the capacity of the upstream costs a rejected request, so the delay
    // before the next increase grows while increases fail.
    m_increaseDelay = std::clamp(m_increaseDelay * 2, minIncreaseDelay, maxIncreaseDelay);
    m_nextIncreaseAt = now + m_increaseDelay;
}

} // namespace persimmonrail
