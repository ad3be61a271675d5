#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/keyspace/range_plan.h"

#include <map>
#include <optional>
#include <vector>

namespace persimmonrail {

// Tells since when the local upstream has had traffic without a longer break. Not thread safe.
class traffic_onset
{
public:
    // Records whether requests run or wait at `now`. Must be called about every 100 ms.
    void update(bool hasRequests, steady_time now);
    // Returns from which moment on the loads of peers were measured over traffic like the local
    // one; nothing while there is no traffic.
    std::optional<steady_time> loadsValidSince() const;

private:
    std::optional<steady_time> m_beganAt;
    steady_time m_lastRequestAt{};
};

// When an owner last moved keys to each peer. Not thread safe.
class move_history
{
public:
    void recordMove(const upstream_id &target, steady_time endedAt);
    // Returns the loads that were measured at `earliest` or later and that show the keys which the
    // owner has moved to the peer. A move says nothing about the loads of other peers.
    std::vector<owner_load> usableLoads(std::vector<owner_load> loads, steady_time earliest) const;

private:
    std::map<upstream_id, steady_time> m_endedAt;
};

} // namespace persimmonrail
