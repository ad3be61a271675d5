#include "persimmonrail/router/load_age.h"

namespace persimmonrail {
namespace {

// Time without a request after which traffic counts as begun anew.
constexpr milliseconds maxBreak{3000};
// Time from the beginning of traffic until the reported loads show it: they are averages, of which
// the last two polls, one second apart, make up most.
constexpr milliseconds settlingTime{2000};
// Reported loads are a few seconds old at most, so an earlier move has no effect on their use.
constexpr milliseconds moveRetention{60000};

} // namespace

void traffic_onset::update(bool hasRequests, steady_time now)
{
    if (!hasRequests) {
        if (now - m_lastRequestAt >= maxBreak) {
            m_beganAt.reset();
        }
        return;
    }
    m_lastRequestAt = now;
    m_beganAt = m_beganAt.value_or(now);
}

std::optional<steady_time> traffic_onset::loadsValidSince() const
{
    return m_beganAt ? std::optional(*m_beganAt + settlingTime) : std::nullopt;
}

void move_history::recordMove(const upstream_id &target, steady_time endedAt)
{
    std::erase_if(m_endedAt,
                  [endedAt](const auto &entry) { return endedAt - entry.second > moveRetention; });
    m_endedAt[target] = endedAt;
}

std::vector<owner_load> move_history::usableLoads(std::vector<owner_load> loads,
                                                  steady_time earliest) const
{
    std::erase_if(loads, [&](const owner_load &load) {
        const auto moved = m_endedAt.find(load.id);
        return load.measuredAt < earliest
            || (moved != m_endedAt.end() && load.measuredAt < moved->second);
    });
    return loads;
}

} // namespace persimmonrail
