#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <functional>
#include <map>
#include <string>

namespace persimmonrail {

// Keeps members in the store equal to what this daemon wants to say of them: the upstream beside it
// and its earlier lives, and peers that it found lost. Writes once per change. Used on the control
// thread.
class member_publisher
{
public:
    member_publisher(object_api store, control_loop &loop, decision_log &log,
                     std::function<void(const stored_object &object)> onObject);

    // What the store shall hold of this member from now on.
    void want(const upstream_member &member);
    // Ends the wish about a member.
    void forget(const std::string &upstream) { m_wanted.erase(upstream); }
    // Writes what differs from the directory; to be called about every 100 ms.
    void tick(const fleet_directory &directory, steady_time now);
    bool isSettled() const { return !m_pending; }

private:
    void write(const upstream_member &member, uint64_t version);

    const object_api m_store;
    control_loop &m_loop;
    decision_log &m_log;
    const std::function<void(const stored_object &object)> m_onObject;
    std::map<std::string, upstream_member> m_wanted;
    bool m_pending = false;
    steady_time m_nextWriteAt{};
    milliseconds m_retry{100};
    // Declared last: its thread uses the members above until it has ended.
    background_worker m_worker;
};

} // namespace persimmonrail
