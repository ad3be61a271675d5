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

// A grant that allows the local upstream to serve a partition under a term. A validity of 0 revokes
// the grant.
struct lease_grant
{
    std::string partition;
    hash_range range;
    uint64_t term = 0;
    milliseconds validity{0};
};

// Callbacks through which an ownership_engine reaches the rest of the daemon. All hooks are
// required unless marked optional. A hook must not block and must not call its completion before it
// returns. A completion must be called on the control thread, at most once, with the time of that
// call.
struct ownership_hooks
{
    using reply_completion =
        std::function<void(absl::StatusOr<wire::Reply> reply, steady_time now)>;
    using put_completion = std::function<void(absl::StatusOr<uint64_t> version, steady_time now)>;
    using get_completion =
        std::function<void(absl::StatusOr<stored_object> object, steady_time now)>;
    using grant_completion = std::function<void(absl::Status status, steady_time now)>;

    // Sends a request to the control address of the instance named `to.name`. The reply may come
    // from any incarnation of that instance. The hook must keep the addresses of deleted members.
    // Never called with the engine's own id.
    std::function<void(const instance_id &to, wire::Request request, milliseconds timeout,
                       reply_completion done)>
        send;
    // Updates a platform object if its version is still `expectedVersion`, with the error codes of
    // object_api. `key` is a full platform key, "placement/<partition>".
    std::function<void(const std::string &key, uint64_t expectedVersion, const std::string &text,
                       put_completion done)>
        putRecord;
    // Reads a platform object, with the error codes of object_api. `key` is as for putRecord.
    std::function<void(const std::string &key, get_completion done)> getRecord;
    // Passes grants to the local upstream.
    std::function<void(std::vector<lease_grant> grants, grant_completion done)> applyGrants;
    // Returns the number of the partition's requests in flight at the local upstream. Optional; the
    // count of the serving table is used by default.
    std::function<size_t(const std::string &partition)> inFlight;
    // Called when the lease of a partition has expired. The hook must cancel the partition's
    // requests in flight if the local upstream does not check grants (rule H4 of docs/design.md).
    // Optional.
    std::function<void(const std::string &partition)> onLeaseExpired;
    // Receives one log line for each placement decision. Optional.
    std::function<void(const std::string &line)> log;
};

// Claims, holds, moves and releases the partitions of this instance, and acts as a witness for
// those of other instances. Implements the rules H1 to H4, C1 to C3 and R1 to R3 of docs/design.md;
// lease_witness implements the witness rules W1 to W5.
//
// The engine is deterministic: it reads no clock and takes all randomness from the seed.
// Not thread safe; used on the control thread. Other threads read the served partitions from the
// serving table.
class ownership_engine
{
public:
    class builder;

    ownership_engine(ownership_engine &&other) noexcept;
    ownership_engine &operator=(ownership_engine &&other) noexcept;
    ~ownership_engine();

    // Performs all actions that are due at `now`. Call tick() at least every 20 ms: with longer
    // intervals leases may expire between renewals and failover is slower, but no rule is violated.
    void tick(steady_time now);
    // Applies a newer view of the fleet. Ignores a view of a lower revision, and records that are
    // not newer than those the engine knows.
    void onView(std::shared_ptr<const fleet_view> view, steady_time now);
    // Returns the reply to a heartbeat, claim, release or expiry notice from another instance. Any
    // other message gets an error reply.
    wire::Reply onRequest(const wire::Request &request, steady_time now);

    // Called when the local upstream accepts requests. The engine assumes at first that the
    // upstream is down.
    void onUpstreamUp(steady_time now);
    // Called when the local upstream is down. Stops serving and releases all leases at once.
    void onUpstreamDown(steady_time now);

    // Starts a graceful shutdown. Drains every partition and then moves it to its first live
    // standby, or releases it if it has no live standby or the platform is unavailable. Claims no
    // partition from then on.
    void startShutdown(steady_time now);
    // Returns whether this instance neither claims, holds nor releases any lease. Becomes true some
    // time after startShutdown(). The release messages may not have reached the witnesses yet.
    bool isDrained() const;

private:
    class state;
    explicit ownership_engine(std::unique_ptr<state> state);
    std::unique_ptr<state> m_state;
};

// Builds an ownership_engine. self(), hooks() and servingTable() are required.
class ownership_engine::builder
{
public:
    builder &self(instance_id self);
    builder &hooks(ownership_hooks hooks);
    // The table must outlive the engine.
    builder &servingTable(serving_table &table);
    builder &timing(lease_timing timing);
    builder &writeLimits(write_rate_limiter::limits limits);
    // Seed of the random delays.
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
