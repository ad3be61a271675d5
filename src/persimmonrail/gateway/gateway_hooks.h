#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/request_outcome.h"
#include "persimmonrail/requests/at_most_once_table.h"
#include "persimmonrail/requests/crash_quarantine.h"
#include "persimmonrail/sync/fleet_view.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace persimmonrail {

// Permission to run one request under a lease that this daemon holds. The request counts as in
// flight until the ticket is destroyed, so that a planned release of the lease waits for it.
class lease_ticket
{
public:
    virtual ~lease_ticket() = default;
    // Name of the partition that the lease covers.
    virtual const std::string &partition() const = 0;
    // Fencing token of the lease.
    virtual uint64_t term() const = 0;
    // Returns the current expiry of the lease, which each renewal extends. The returned time is in
    // the past once the lease is lost.
    virtual steady_time leaseEnd() const = 0;
};

// Attributes of a request that needs a slot of the local upstream.
struct admission_request
{
    std::string_view service;
    // Index of the rank (priority class) in the service document; 0 is the most urgent.
    size_t rank = 0;
    // Value of the header Persimmonrail-Subsidiary; empty if the caller sent none.
    std::string_view subsidiary;
    steady_time deadline;
};

// Permission to use one slot of the local upstream. The destructor releases the slot.
class admission_ticket
{
public:
    virtual ~admission_ticket() = default;
    // Reports the end of the request; must be called at most once. `reason` is
    // dispatch_result::reason, and `latency` is the time from the dispatch to the end.
    virtual void finish(request_outcome outcome, std::string_view reason,
                        std::chrono::nanoseconds latency, steady_time now);
};

// Rejection of a request before its dispatch.
struct admission_rejection
{
    // Fixed word for the header Persimmonrail-Reason.
    std::string reason;
    // Time after which the request may be sent again; zero if no time is known.
    milliseconds retryAfter{0};
};

using admission_result = std::variant<std::unique_ptr<admission_ticket>, admission_rejection>;

// Functions through which the gateway uses other modules of the daemon. All hooks are called by the
// threads that serve requests and must be thread safe; only `admit` may block.
struct gateway_hooks
{
    // Returns the current state of the fleet; null if it is not known yet. Required.
    std::function<std::shared_ptr<const fleet_view>()> view;

    // Returns a ticket for the key hash; null if this daemon holds no lease for the hash or the
    // lease is about to expire. Default: null.
    std::function<std::unique_ptr<lease_ticket>(std::string_view service, uint64_t hash,
                                                steady_time now)>
        localLease;
    // Returns the name of the instance that holds the partition as far as this daemon knows; empty
    // if unknown. The name is sent with "not-owner" responses. Default: empty.
    std::function<std::string(std::string_view service, uint64_t hash)> holderHint;

    // Returns the daemons to try, in this order: recorded owner, hinted holder, standbys. Default:
    // candidatesFromRecord.
    std::function<std::vector<member_record>(const fleet_view &view, std::string_view service,
                                             uint64_t hash, std::string_view hintedHolder)>
        candidates;
    // Returns an instance for a request that any instance may run, excluding those in `tried`;
    // nullopt if none is left. Default: the members in the order of their names.
    std::function<std::optional<member_record>(const fleet_view &view, std::string_view service,
                                               const std::vector<instance_id> &tried,
                                               steady_time now)>
        pickInstance;
    // Called once for each instance that pickInstance returned, after the attempt has ended.
    // Optional.
    std::function<void(std::string_view service, const member_record &member,
                       request_outcome outcome, std::string_view reason,
                       std::chrono::nanoseconds took, steady_time now)>
        onAttemptEnd;
    // Returns whether a repeatable request whose outcome is unknown may be retried, and counts the
    // retry. Also called with `isRetry` false for each first attempt, which is only counted.
    // Default: no retries.
    std::function<bool(bool isRetry, steady_time now)> consumeRetryBudget;

    // Returns whether new requests for the local upstream are rejected because the upstream or the
    // daemon is stopping. Default: false.
    std::function<bool(steady_time now)> rejectsNewRequests;

    // Waits for a slot of the local upstream. Returns a rejection if no slot is available. Default:
    // slot_admission.
    std::function<admission_result(const admission_request &request, steady_time now)> admit;

    // Returns whether a request that is not repeatable may run. `ticket` is the lease under which
    // the request would run. Default: always Proceed.
    std::function<at_most_once_verdict(std::string_view service, std::string_view idempotencyKey,
                                       const lease_ticket &ticket, steady_time now)>
        beginAtMostOnce;
    // Called at the end of each request that beginAtMostOnce let proceed. `response` is null if the
    // response was incomplete or too large to be stored. Default: does nothing.
    std::function<void(std::string_view service, std::string_view idempotencyKey,
                       request_outcome outcome, std::shared_ptr<const stored_response> response)>
        endAtMostOnce;

    // Consulted before each dispatch to the local upstream. Must outlive the request router.
    // Optional.
    crash_quarantine *quarantine = nullptr;
};

// Default admission control. Admits as many requests as the upstream has slots, queues a limited
// number of further requests, and rejects the others. Ignores ranks, so the daemon uses the
// admission control of admission/ instead. Thread safe.
class slot_admission
{
public:
    // `slots` is called at each admission. At most `maxQueueLength` requests wait at a time, each
    // for at most `maxQueueTime`.
    slot_admission(std::function<int()> slots, int maxQueueLength, milliseconds maxQueueTime);
    ~slot_admission();

    // Blocks until a slot is free. Rejects with the reason "overload" if the queue is full, or if
    // `maxQueueTime` or `deadline` passes first.
    admission_result admit(steady_time deadline, steady_time now);
    int slotsInUse() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

// Default of gateway_hooks::candidates: the owner in the placement record, the hinted holder and
// the standbys in the record, without duplicates. Members that are not in the view are left out.
std::vector<member_record> candidatesFromRecord(const fleet_view &view, std::string_view service,
                                                uint64_t hash, std::string_view hintedHolder);

} // namespace persimmonrail
