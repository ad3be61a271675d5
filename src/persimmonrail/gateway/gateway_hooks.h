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

// Permission to run one request under a lease that this daemon holds. The lease holder counts it
// as in flight until it is destroyed, so that a planned release waits for it.
class lease_ticket
{
public:
    virtual ~lease_ticket() = default;
    virtual const std::string &partition() const = 0;
    virtual uint64_t term() const = 0;
    // Current end of the lease; renewals move it. In the past once the lease is lost.
    virtual steady_time leaseEnd() const = 0;
};

// A request that asks for a slot of the local upstream.
struct admission_request
{
    std::string_view service;
    // Position of its rank in the document, 0 for the most urgent.
    size_t rank = 0;
    // From the header Persimmonrail-Subsidiary; empty if the caller names none.
    std::string_view subsidiary;
    steady_time deadline;
};

// Permission to use one slot of the upstream, given back on destruction.
class admission_ticket
{
public:
    virtual ~admission_ticket() = default;
    // Reports how the request ended; call it at most once. `reason` is the word of the upstream
    // guard, `latency` the time from hand-over to the end.
    virtual void finish(request_outcome outcome, std::string_view reason,
                        std::chrono::nanoseconds latency, steady_time now);
};

struct admission_refusal
{
    std::string reason;
    milliseconds retryAfter{0};
};

using admission_result = std::variant<std::unique_ptr<admission_ticket>, admission_refusal>;

// Decisions that the request path takes from other slices. All hooks run on traffic threads and
// must be thread safe; only `admit` may block.
struct gateway_hooks
{
    std::function<std::shared_ptr<const fleet_view>()> view;

    // Returns null if this daemon holds no lease for the hash, or too little of it is left.
    std::function<std::unique_ptr<lease_ticket>(std::string_view service, uint64_t hash,
                                                steady_time now)>
        localLease;
    // Name of the instance that holds the partition as far as this daemon knows; empty if unknown.
    // Sent with "not owner" answers. Optional.
    std::function<std::string(std::string_view service, uint64_t hash)> holderHint;

    // Daemons to try in order: recorded owner, hinted holder, standbys. Default: from the record.
    std::function<std::vector<member_record>(const fleet_view &view, std::string_view service,
                                             uint64_t hash, std::string_view hintedHolder)>
        candidates;
    // Instance for a request that any instance may run, other than those in `tried`. Default: the
    // members in order of name.
    std::function<std::optional<member_record>(const fleet_view &view, std::string_view service,
                                               const std::vector<instance_id> &tried,
                                               steady_time now)>
        pickInstance;
    // Called once for each instance that pickInstance returned, when its attempt has ended.
    // Optional.
    std::function<void(std::string_view service, const member_record &member,
                       request_outcome outcome, std::string_view reason,
                       std::chrono::nanoseconds took, steady_time now)>
        attemptEnded;
    // Whether a repeatable request whose outcome is unknown may be sent again. Called with
    // `isRetry` false for each first attempt. Default: no retries.
    std::function<bool(bool isRetry, steady_time now)> retryBudget;

    // Whether the local upstream gets no further requests, because it or the daemon is stopping.
    // Default: never.
    std::function<bool(steady_time now)> refusesNewWork;

    // Waits for a slot of the local upstream. Default: slot_admission.
    std::function<admission_result(const admission_request &request, steady_time now)> admit;

    // `ticket` is the lease under which the request would run. Default: always Proceed.
    std::function<at_most_once_verdict(std::string_view service, std::string_view idempotencyKey,
                                       const lease_ticket &ticket, steady_time now)>
        atMostOnceBegin;
    // `response` is null if the answer was too large to keep or not whole.
    std::function<void(std::string_view service, std::string_view idempotencyKey,
                       request_outcome outcome, std::shared_ptr<const stored_response> response)>
        atMostOnceEnd;

    // Consulted before each hand-over to the local upstream. Must outlive the request path.
    // Optional.
    crash_quarantine *quarantine = nullptr;
};

// Admits up to the upstream's slots, lets a few requests wait, and refuses the others. Knows no
// ranks; the admission slice replaces it. Thread safe.
class slot_admission
{
public:
    // `slots` is read at each admission; at most `queueLength` requests wait, each for at most
    // `maxWait`.
    slot_admission(std::function<int()> slots, int queueLength, milliseconds maxWait);
    ~slot_admission();

    admission_result admit(steady_time deadline, steady_time now);
    int inUse() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

// The default of gateway_hooks::candidates.
std::vector<member_record> recordCandidates(const fleet_view &view, std::string_view service,
                                            uint64_t hash, std::string_view hintedHolder);

} // namespace persimmonrail
