#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <functional>
#include <map>
#include <string>

namespace persimmonrail {

// Keeps members in the store equal to what this daemon publishes: the local upstream, its earlier
// incarnations, and peers that were found unreachable. Each change is written once. All functions
// must be called on the control thread.
class member_publisher
{
public:
    member_publisher(object_api store, control_loop &loop, decision_log &log,
                     std::function<void(const stored_object &object)> onObject);

    // Sets the content that the store is to have for this member from now on.
    void publish(const upstream_member &member);
    // Stops maintaining the member of this upstream; the store keeps its current content.
    void stopPublishing(const std::string &upstream) { m_desiredMembers.erase(upstream); }
    // Writes one member that differs from the directory, if no write is pending. Must be called
    // about every 100 ms.
    void tick(const fleet_directory &directory, steady_time now);
    bool isIdle() const { return !m_isWritePending; }

private:
    void writeMember(const upstream_member &member, uint64_t version);

    const object_api m_store;
    control_loop &m_loop;
    decision_log &m_log;
    const std::function<void(const stored_object &object)> m_onObject;
    std::map<std::string, upstream_member> m_desiredMembers;
    bool m_isWritePending = false;
    steady_time m_nextWriteAt{};
    milliseconds m_retryDelay{100};
    // Declared last, because the worker's thread uses the members above until the thread has ended.
    background_worker m_worker;
};

} // namespace persimmonrail
