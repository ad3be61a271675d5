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

// Connects a coordinator to the control channel and the platform.
//
// Used on the control thread.
class coordinator_driver
{
public:
    // The references must outlive the driver. `store` holds the documents to be accepted.
    coordinator_driver(const instance_id &self, const std::string &availabilityZone,
                       control_messenger &messenger, platform_worker &platform,
                       const object_replica &store, decision_log &log);
    coordinator_driver(const coordinator_driver &) = delete;
    coordinator_driver &operator=(const coordinator_driver &) = delete;

    void onView(const std::shared_ptr<const fleet_view> &view, steady_time now);
    // Pings members that are due; to be called about every 250 ms.
    void pingMembers(steady_time now);
    // Acts on what is due; to be called about once a second.
    void tick(steady_time now);
    // Answers whether another daemon answers a ping from here.
    void onProbe(const wire::Probe &probe, const control_messenger::responder &respond);

private:
    coordinator::hooks makeHooks();
    void writeRecord(const record_change &change);
    std::vector<stored_object> unevaluatedDocuments() const;
    void acceptDocument(const std::string &service, const stored_object &config);
    void writeVerdict(const std::string &key, const std::string &value);
    void requestProbe(const member_record &helper, const member_record &suspect);
    void removeMember(const member_record &member);

    control_messenger &m_messenger;
    platform_worker &m_platform;
    const object_replica &m_store;
    decision_log &m_log;
    // Writes under way, by key.
    std::set<std::string> m_pendingWrites;
    coordinator m_coordinator;
};

} // namespace persimmonrail
