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

// Implementation of ownership_engine; its definitions are spread over three files: leases
// (engine_leases.cpp), records (engine_records.cpp), and the entry points (ownership_engine.cpp).
class ownership_engine::state
{
public:
    state(instance_id self, ownership_hooks hooks, serving_table &table, lease_timing timing,
          write_rate_limiter::limits limits, uint64_t seed);

    void tick(steady_time now);
    void onView(std::shared_ptr<const fleet_view> view, steady_time now);
    wire::Reply onRequest(const wire::Request &request, steady_time now);
    void setUpstreamUp(bool up, steady_time now);
    void drainAll(steady_time now);
    bool isDrained() const;

private:
    enum class write_kind { Tenure, Move, WitnessChange, Standbys, Recovery };
    struct record_change
    {
        write_kind kind;
        placement_record record;
        std::string_view reason;
    };
    struct local_delivery
    {
        wire::Request request;
        ownership_hooks::reply_completion done;
    };
    // A lease in a heartbeat message; replies carry one verdict for each.
    struct sent_lease
    {
        std::string partition;
        uint64_t attempt;
        uint64_t recordVersion;
    };

    // Messages.
    void send(const instance_id &to, wire::Request request, milliseconds timeout,
              ownership_hooks::reply_completion done);
    // Answers the messages that this instance sent to its own witness table.
    void deliverLocal(steady_time now);
    void log(const lease_state &lease, std::string_view action, std::string_view reason) const;

    // Leases.
    void updateLeases(steady_time now);
    void suspendExpired(lease_state &lease, steady_time now);
    void considerClaim(lease_state &lease, steady_time now);
    void startClaim(lease_state &lease, steady_time now);
    void onClaimReply(const sent_lease &sent, uint64_t term, const instance_id &witness,
                      steady_time sentAt, const absl::StatusOr<wire::Reply> &reply,
                      steady_time now);
    void giveUpClaim(lease_state &lease, steady_time now);
    void sendHeartbeats(steady_time now);
    void onHeartbeatReply(const std::vector<sent_lease> &sent, const instance_id &witness,
                          steady_time sentAt, const absl::StatusOr<wire::Reply> &reply,
                          steady_time now);
    void onGranted(lease_state &lease, const instance_id &witness, witness_ack ack,
                   steady_time now);
    void onRefused(lease_state &lease, const instance_id &witness,
                   const wire::LeaseVerdict &verdict, steady_time now);
    void stepDown(lease_state &lease, std::string_view reason, steady_time now);
    void finishRelease(lease_state &lease, steady_time now);
    void sendRelease(const lease_state &lease, const instance_id &witness, uint64_t term);
    void sendNotices(steady_time now);
    void onNotice(const instance_id &witness, const wire::ExpiryNotice &notice, steady_time now);
    bool hasNoticeMajority(const lease_state &lease, steady_time now) const;
    void publish(lease_state &lease, steady_time now);
    void sendGrants(steady_time now);
    void applyGrants(std::vector<lease_grant> grants, std::vector<sent_lease> leases);

    // Records.
    void adoptRecord(lease_state &lease, versioned_record record, steady_time now);
    void dropRecord(lease_state &lease, steady_time now);
    void changeRecords(steady_time now);
    std::optional<record_change> proposeChange(lease_state &lease, steady_time now);
    std::optional<record_change> proposeWitnessChange(const lease_state &lease,
                                                      steady_time now) const;
    std::optional<record_change> proposeStandbys(const lease_state &lease) const;
    void considerDrain(lease_state &lease, steady_time now);
    void drainForRelease(lease_state &lease, std::string_view reason, steady_time now);
    placement_record moveRecord(const lease_state &lease, const instance_id &target) const;
    void writeRecord(lease_state &lease, record_change change, steady_time now);
    void onWritten(const std::string &partition, const record_change &change,
                   const absl::StatusOr<uint64_t> &version, steady_time now);
    void suspendDrain(lease_state &lease, steady_time now);
    void readBack(lease_state &lease, steady_time now);
    void onRead(const std::string &partition, const absl::StatusOr<stored_object> &object,
                steady_time now);

    // Recovery.
    void considerRecovery(steady_time now);
    void findAbandonedPartitions();
    std::optional<milliseconds> recoveryDelay(const placement_record &record) const;
    void pingMissingWitnesses(const placement_record &record, steady_time now);
    bool isLive(const instance_id &id) const;
    bool isAbandoned(const placement_record &record) const;
    const instance_id &fallbackOwner(const placement_record &record) const;

    bool isOwner(const lease_state &lease) const;
    std::optional<size_t> standbyPosition(const placement_record &record) const;
    bool isServing(const lease_state &lease, steady_time now) const;
    size_t inFlight(const lease_state &lease) const;
    lease_state *findLease(const std::string &partition);
    // Returns the lease of `sent` if its tenure or claim is still current.
    lease_state *findCurrent(const sent_lease &sent);
    milliseconds jitter(milliseconds low, milliseconds high);
    wire::PartitionLease leaseMessage(const lease_state &lease, uint64_t term) const;

    instance_id m_self;
    ownership_hooks m_hooks;
    serving_table &m_table;
    lease_timing m_timing;
    lease_witness m_witness;
    write_rate_limiter m_writeLimiter;
    witness_evidence m_evidence;
    std::mt19937_64 m_random;
    std::shared_ptr<const fleet_view> m_view = std::make_shared<fleet_view>();
    std::map<std::string, lease_state> m_leases;
    std::vector<local_delivery> m_localDeliveries;
    // Time of the first tick.
    std::optional<steady_time> m_startedAt;
    bool m_upstreamUp = false;
    bool m_shuttingDown = false;
    // Source of lease_state::attempt. Never reused, even when a lease state is dropped and created
    // anew, so that no late reply counts for a later claim.
    uint64_t m_lastAttempt = 0;
    steady_time m_heartbeatAt;
    steady_time m_recoveryAt;
    // Expires with this object, so that late completions do nothing.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace persimmonrail
