#pragma once

#include "persimmonrail/daemon/platform_worker.h"
#include "persimmonrail/sync/fleet_view.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <functional>
#include <optional>

namespace persimmonrail {

// Keeps "member/<instance>" in the platform equal to what this daemon wants to announce. Writes
// once per change; nothing is renewed.
//
// Used on the control thread.
class member_announcer
{
public:
    // `platform` and `log` must outlive the announcer.
    member_announcer(member_record self, platform_worker &platform, decision_log &log);

    // Slots of the upstream, 0 while it is absent or draining; such an instance is given no
    // partitions and no requests.
    void setSlots(int slots);
    // Deletes the record for good.
    void withdraw();
    bool isWithdrawn() const { return m_withdrawing && !m_busy && m_settled; }
    // Writes if the platform's record differs; to be called about every 100 ms.
    void tick(steady_time now);

    const member_record &self() const { return m_self; }

private:
    void read(steady_time now);
    void write(uint64_t version);
    void retryLater(const absl::Status &status, steady_time now);

    member_record m_self;
    platform_worker &m_platform;
    decision_log &m_log;
    bool m_withdrawing = false;
    // A call is under way.
    bool m_busy = false;
    // The platform holds what is wanted.
    bool m_settled = false;
    steady_time m_nextAttempt{};
};

} // namespace persimmonrail
