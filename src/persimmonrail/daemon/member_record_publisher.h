#pragma once

#include "persimmonrail/daemon/platform_worker.h"
#include "persimmonrail/sync/fleet_view.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <functional>
#include <optional>

namespace persimmonrail {

// Keeps this daemon's member record, the platform object "member/<instance>", equal to the record
// that the daemon wants to publish. Writes the object once per change; the object needs no renewal.
//
// Not thread safe; used on the control thread.
class member_record_publisher
{
public:
    // `platform` and `log` must outlive the publisher.
    member_record_publisher(member_record desiredRecord, platform_worker &platform,
                            decision_log &log);

    // Sets the number of slots of the local upstream. 0 means that the upstream is down or
    // draining; an instance with 0 slots receives no partitions and no requests.
    void setSlots(int slots);
    // Requests the deletion of the record. The record is not written again afterwards.
    void deleteRecord();
    // Whether the platform is known to hold no record of this daemon any more.
    bool isRecordDeleted() const { return m_shouldDelete && !m_isCallPending && m_isUpToDate; }
    // Starts a read, followed by a write if the platform's record differs from the desired one.
    // Does nothing while the record is known to be up to date. Call about every 100 ms.
    void writeIfChanged(steady_time now);

    const member_record &desiredRecord() const { return m_desiredRecord; }

private:
    void readRecord(steady_time now);
    void writeRecord(uint64_t version);
    void scheduleRetry(const absl::Status &status, steady_time now);

    member_record m_desiredRecord;
    platform_worker &m_platform;
    decision_log &m_log;
    bool m_shouldDelete = false;
    // Whether a call to the platform is in progress.
    bool m_isCallPending = false;
    // Whether the platform is known to hold the desired state: the record, or no record once
    // m_shouldDelete is set.
    bool m_isUpToDate = false;
    steady_time m_nextAttemptAt{};
};

} // namespace persimmonrail
