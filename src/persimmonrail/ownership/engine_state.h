#pragma once

#include "persimmonrail/ownership/lease_state.h"
#include "persimmonrail/ownership/lease_witness.h"
#include "persimmonrail/ownership/ownership_engine.h"
#include "persimmonrail/ownership/recovery.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Implementation of ownership_engine. The member functions are defined in three files: those for
// leases in engine_leases.cpp, those for placement records and recovery in engine_records.cpp, and
// the entry points and helpers in ownership_engine.cpp.
class ownership_engine::state
{
public:
    state(instance_id self, ownership_hooks hooks, serving_table &table, lease_timing timing,
          write_rate_limiter::limits limits, uint64_t seed);

    void tick(steady_time now);
    void onView(std::shared_ptr<const fleet_view> view, steady_time now);
    wire::Reply onRequest(const wire::Request &request, steady_time now);
    void setUpstreamUp(bool isUp, steady_time now);
    void startShutdown(steady_time now);
    bool isDrained() const;

private:
    // Purpose of a record write. Changes of several partitions are written in this order.
    enum class write_kind { Tenure, Move, WitnessChange, Standbys, Recovery };
    // A new content for a partition's record, and its reason for the log.
    struct record_change
    {
        write_kind kind;
        placement_record record;
        std::string_view reason;
    };
    // A message from this instance to its own witness table.
    struct local_message
    {
        wire::Request request;
        ownership_hooks::reply_completion done;
    };
    // The lease that a sent message is about, as it stood when the message was sent. The reply to a
    // heartbeat carries one verdict for each lease of the message.
    struct sent_lease
    {
        std::string partition;
        uint64_t generation;
        uint64_t recordVersion;
    };

    // Messages.

    // Sends a message to an instance. Messages to this instance are delivered by
    // deliverLocalMessages().
    void send(const instance_id &to, wire::Request request, milliseconds timeout,
              ownership_hooks::reply_completion done);
    // Replies to the messages that this instance has sent to its own witness table.
    void deliverLocalMessages(steady_time now);
    void log(const lease_state &lease, std::string_view action, std::string_view reason) const;

    // Leases.

    void updateLeases(steady_time now);
    // Handles a held lease that has expired: suspends serving, and steps down if a witness has
    // granted a higher term or the lease has not been renewed for another lease duration.
    void suspendExpired(lease_state &lease, steady_time now);
    // Starts a claim if this instance may claim the partition (rule C1) and its delay has passed.
    void claimIfDue(lease_state &lease, steady_time now);
    void startClaim(lease_state &lease, steady_time now);
    void onClaimReply(const sent_lease &sent, uint64_t term, const instance_id &witness,
                      steady_time sentAt, const absl::StatusOr<wire::Reply> &reply,
                      steady_time now);
    // Ends a claim that was not won, releases the grants of individual witnesses and plans the next
    // claim.
    void abandonClaim(lease_state &lease, steady_time now);
    void sendHeartbeats(steady_time now);
    void onHeartbeatReply(const std::vector<sent_lease> &sent, const instance_id &witness,
                          steady_time sentAt, const absl::StatusOr<wire::Reply> &reply,
                          steady_time now);
    void onGranted(lease_state &lease, const instance_id &witness, witness_ack ack,
                   steady_time now);
    void onRejected(lease_state &lease, const instance_id &witness,
                    const wire::LeaseVerdict &verdict, steady_time now);
    // Abandons the current claim, or stops serving and releases the held lease.
    void stepDown(lease_state &lease, std::string_view reason, steady_time now);
    // Releases the lease if no requests are in flight, the lease has expired or the local upstream
    // is down.
    void finishRelease(lease_state &lease, steady_time now);
    void sendRelease(const lease_state &lease, const instance_id &witness, uint64_t term);
    // Sends the expiry notices that are due in the witness table of this instance.
    void sendNotices(steady_time now);
    void onNotice(const instance_id &witness, const wire::ExpiryNotice &notice, steady_time now);
    // Returns whether a majority of the established witnesses has recently reported the end of the
    // lease.
    bool hasNoticeMajority(const lease_state &lease, steady_time now) const;
    // Makes a held lease available to the traffic threads. A new tenure is published only after the
    // local upstream has accepted its grant (rule H4).
    void publish(lease_state &lease, steady_time now);
    // Renews the grants of all partitions that this instance serves.
    void sendGrants(steady_time now);
    void applyGrants(std::vector<lease_grant> grants, std::vector<sent_lease> leases);

    // Records.

    // Applies a newer record, and steps down if the record ends the claim or tenure.
    void adoptRecord(lease_state &lease, versioned_record record, steady_time now);
    // Steps down because the record was deleted.
    void applyRecordDeletion(lease_state &lease, steady_time now);
    // Starts drains, and sends the writes and reads of records that the rate limiter allows.
    void updateRecords(steady_time now);
    // Returns the change that the holder of the lease should write next, or nothing.
    std::optional<record_change> proposeChange(lease_state &lease, steady_time now);
    std::optional<record_change> proposeWitnessChange(const lease_state &lease,
                                                      steady_time now) const;
    std::optional<record_change> proposeStandbys(const lease_state &lease) const;
    // Starts the drain before a planned move or the shutdown, or cancels a drain that cannot end in
    // a move.
    void updateDrain(lease_state &lease, steady_time now);
    void drainForRelease(lease_state &lease, std::string_view reason, steady_time now);
    // Returns the record that makes `target` the owner.
    placement_record recordAfterMove(const lease_state &lease, const instance_id &target) const;
    void writeRecord(lease_state &lease, record_change change, steady_time now);
    void onWritten(const std::string &partition, const record_change &change,
                   const absl::StatusOr<uint64_t> &version, steady_time now);
    void cancelDrain(lease_state &lease, steady_time now);
    void readBack(lease_state &lease, steady_time now);
    void onRead(const std::string &partition, const absl::StatusOr<stored_object> &object,
                steady_time now);

    // Recovery.

    void recoverPartitions(steady_time now);
    // Adds the abandoned partitions whose fallback owner is this instance to m_leases.
    void findAbandonedPartitions();
    // Returns how long a partition must have been recoverable before this instance recovers it, or
    // nothing if the recovery is left to other instances.
    std::optional<milliseconds> recoveryDelay(const placement_record &record) const;
    // Pings the witnesses that are no longer members, to find out whether a newer incarnation of
    // them runs.
    void pingMissingWitnesses(const placement_record &record, steady_time now);
    // Returns whether the newest fleet view lists this incarnation.
    bool isMember(const instance_id &id) const;
    // Returns whether neither the owner nor any standby of the record is a member.
    bool isAbandoned(const placement_record &record) const;
    const instance_id &fallbackOwner(const placement_record &record) const;

    bool isOwner(const lease_state &lease) const;
    // Returns the position of this instance in the standby list, counted from 0.
    std::optional<size_t> standbyPosition(const placement_record &record) const;
    // Returns whether this instance holds a lease that has not expired.
    bool isServing(const lease_state &lease, steady_time now) const;
    size_t inFlight(const lease_state &lease) const;
    lease_state *findLease(const std::string &partition);
    // Returns the lease of `sent`, or null if its claim or tenure has ended.
    lease_state *findCurrent(const sent_lease &sent);
    milliseconds randomDelay(milliseconds minDelay, milliseconds maxDelay);
    wire::PartitionLease makeLeaseMessage(const lease_state &lease, uint64_t term) const;

    instance_id m_self;
    ownership_hooks m_hooks;
    serving_table &m_table;
    lease_timing m_timing;
    lease_witness m_witness;
    write_rate_limiter m_writeLimiter;
    witness_evidence m_evidence;
    std::mt19937_64 m_random;
    // Newest fleet view.
    std::shared_ptr<const fleet_view> m_view = std::make_shared<fleet_view>();
    // Leases that this instance holds or may claim or recover, by partition.
    std::map<std::string, lease_state> m_leases;
    std::vector<local_message> m_localMessages;
    // Time of the first tick.
    std::optional<steady_time> m_startedAt;
    bool m_isUpstreamUp = false;
    bool m_isShuttingDown = false;
    // Last value given to a lease_state::generation. A value is never reused, even when a lease
    // state is erased and created again, so that no late reply counts for a later claim.
    uint64_t m_lastGeneration = 0;
    steady_time m_nextHeartbeatAt;
    steady_time m_nextRecoveryAt;
    // Completions hold a weak reference to this token and do nothing once this object is destroyed.
    std::shared_ptr<int> m_lifetimeToken = std::make_shared<int>(0);
};

} // namespace persimmonrail
