#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/requests/crash_quarantine.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <functional>
#include <string>

namespace persimmonrail {

// Keeps the evidence of this daemon and that of the other daemons of its service equal, through the
// service's quarantine record in the store. All functions must be called on the control thread.
class quarantine_publisher
{
public:
    // `quarantine` and `loop` must outlive the object. `onObject` receives objects that a write has
    // shown.
    quarantine_publisher(std::string service, crash_quarantine &quarantine, object_api store,
                         control_loop &loop, decision_log &log,
                         std::function<void(const stored_object &object)> onObject);

    // Takes over the evidence of the record, if the record has changed.
    void onDirectory(const fleet_directory &directory, steady_time now, wall_time wallNow);
    // Writes the evidence that the record lacks, if no write is pending. Must be called about every
    // 100 ms.
    void tick(const fleet_directory &directory, steady_time now, wall_time wallNow);

private:
    void write(const std::string &value, uint64_t version);

    const std::string m_service;
    crash_quarantine &m_quarantine;
    const object_api m_store;
    control_loop &m_loop;
    decision_log &m_log;
    const std::function<void(const stored_object &object)> m_onObject;
    uint64_t m_mergedVersion = 0;
    bool m_isWritePending = false;
    steady_time m_nextWriteAt{};
    milliseconds m_retryDelay{100};
    // Declared last, because the worker's thread uses the members above until the thread has ended.
    background_worker m_worker;
};

} // namespace persimmonrail
