#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/base/key_hash.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/ownership/lease_timing.h"
#include "persimmonrail/ownership/serving_table.h"
#include "persimmonrail/ownership/write_rate_limiter.h"
#include "persimmonrail/sync/fleet_view.h"

#include <control.pb.h>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// A grant for the upstream. A validity of 0 revokes the grant.
struct lease_grant
{
    std::string partition;
    hash_range range;
    uint64_t term = 0;
    milliseconds validity{0};
};

// Connections of an ownership_engine to the rest of the daemon. Hooks must not block and must not
// call a completion before they return. Each completion is called on the control thread, at most
// once, with the time at which it is called.
struct ownership_hooks
{
    using reply_completion =
        std::function<void(absl::StatusOr<wire::Reply> reply, steady_time now)>;
    using put_completion = std::function<void(absl::StatusOr<uint64_t> version, steady_time now)>;
    using get_completion =
        std::function<void(absl::StatusOr<stored_object> object, steady_time now)>;
    using grant_completion = std::function<void(absl::Status status, steady_time now)>;

    // Sends to the control address of the instance named `to.name`, whatever incarnation answers
    // there; the address of a deleted member is remembered. Never called with the engine's own id.
    std::function<void(const instance_id &to, wire::Request request, milliseconds timeout,
                       reply_completion done)>
        send;
    // Conditional update and read of a platform object, with the error codes of object_api. `key`
    // is a full platform key, "placement/<partition>".
    std::function<void(const std::string &key, uint64_t expectedVersion, const std::string &text,
                       put_completion done)>
        putRecord;
    std::function<void(const std::string &key, get_completion done)> getRecord;
    // Passes grants to the upstream.
    std::function<void(std::vector<lease_grant> grants, grant_completion done)> applyGrants;
    // Requests in flight at the upstream. Optional; defaults to the count of the serving table.
    std::function<size_t(const std::string &partition)> inFlight;
    // Called when the lease of a partition has expired; requests in flight at an upstream that does
    // not check grants must be cancelled (rule H4). Optional.
    std::function<void(const std::string &partition)> leaseExpired;
    // Takes one line for each placement decision. Optional.
    std::function<void(const std::string &line)> log;
};

// Decides which partitions this instance holds, claims, moves and witnesses (rules H1 to H4, C1 to
// C3 and R1 to R3 of docs/design.md; the witness rules are in lease_witness).
//
// Deterministic: all time comes from the arguments and all randomness from the seed.
// Not thread safe; used on the control thread. The serving table carries the result to others.
class ownership_engine
{
public:
    class builder;

    ownership_engine(ownership_engine &&other) noexcept;
    ownership_engine &operator=(ownership_engine &&other) noexcept;
    ~ownership_engine();

    // Does everything that is due. Call at least every 20 ms; with longer gaps leases expire early
    // and failover is slower, but no rule is broken.
    void tick(steady_time now);
    // Takes a newer view of the fleet. Records older than those already known are ignored.
    void onView(std::shared_ptr<const fleet_view> view, steady_time now);
    // Answers heartbeats, claims, releases and expiry notices; other messages get an error reply.
    wire::Reply onRequest(const wire::Request &request, steady_time now);

    // The upstream beside the daemon serves. It counts as down at the start.
    void onUpstreamUp(steady_time now);
    // The upstream is gone: stops serving and releases all leases at once.
    void onUpstreamDown(steady_time now);

    // Graceful shutdown: hands every partition to its first live standby, or releases it when the
    // platform is unavailable, after its requests in flight. Claims nothing from then on.
    void drainAll(steady_time now);
    // Whether no lease is held or being released; true at some time after drainAll(). The messages
    // that release the leases may still be on their way.
    bool isDrained() const;

private:
    class state;
    explicit ownership_engine(std::unique_ptr<state> state);
    std::unique_ptr<state> m_state;
};

// Collects the parts of an ownership_engine. Required: self, hooks and servingTable.
class ownership_engine::builder
{
public:
    builder &self(instance_id self);
    builder &hooks(ownership_hooks hooks);
    // The table must outlive the engine.
    builder &servingTable(serving_table &table);
    builder &timing(lease_timing timing);
    builder &writeLimits(write_rate_limiter::limits limits);
    // Seed of the jitter.
    builder &seed(uint64_t seed);
    ownership_engine build();

private:
    instance_id m_self;
    ownership_hooks m_hooks;
    serving_table *m_table = nullptr;
    lease_timing m_timing;
    write_rate_limiter::limits m_limits;
    uint64_t m_seed = 1;
};

} // namespace persimmonrail
