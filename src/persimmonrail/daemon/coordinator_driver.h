#pragma once

#include "persimmonrail/balance/coordinator.h"
#include "persimmonrail/daemon/control_messenger.h"
#include "persimmonrail/daemon/platform_worker.h"
#include "persimmonrail/sync/object_replica.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace persimmonrail {

// Connects the coordinator of this daemon to the control channel and to the platform's object API:
// carries out the coordinator's decisions and passes their results back to the coordinator.
//
// Not thread safe; used on the control thread.
class coordinator_driver
{
public:
    // The references must outlive the driver. `replica` is this daemon's copy of the platform's
    // objects; the driver reads service documents and their status from this copy.
    coordinator_driver(const instance_id &self, const std::string &availabilityZone,
                       control_messenger &messenger, platform_worker &platform,
                       const object_replica &replica, decision_log &log);
    coordinator_driver(const coordinator_driver &) = delete;
    coordinator_driver &operator=(const coordinator_driver &) = delete;

    // Passes a new view of the fleet to the coordinator.
    void onView(const std::shared_ptr<const fleet_view> &view, steady_time now);
    // Pings the members that are due for a ping. Call about every 250 ms.
    void pingMembers(steady_time now);
    // Runs the coordinator's tasks that are due, such as placement and the removal of unresponsive
    // members. Call about once a second.
    void runDueTasks(steady_time now);
    // Pings the member that `probe` names and reports in the reply whether the member responded.
    void onProbe(const wire::Probe &probe, const control_messenger::responder &respond);

private:
    coordinator::hooks makeHooks();
    void writeRecord(const record_change &change);
    // Returns the "config/<service>" objects that are newer than the status of their service.
    std::vector<stored_object> documentsAwaitingDecision() const;
    // Decides whether `config` is accepted, and writes the accepted document and its status.
    void evaluateDocument(const std::string &service, const stored_object &config);
    void writeDecision(const std::string &key, const std::string &value);
    // Asks `helper` to ping `suspect` and passes the result to the coordinator.
    void requestProbe(const member_record &helper, const member_record &suspect);
    void removeMember(const member_record &member);

    control_messenger &m_messenger;
    platform_worker &m_platform;
    const object_replica &m_replica;
    decision_log &m_log;
    // Keys of the platform objects with a write in progress. Further writes of such a key are
    // skipped until the write has completed.
    std::set<std::string> m_pendingWrites;
    coordinator m_coordinator;
};

} // namespace persimmonrail
