#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/key_hash.h"
#include "persimmonrail/ownership/lease_timing.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonrail {

// The lease under which a request may be dispatched to the local upstream.
struct serving_lease
{
    std::string partition;
    uint64_t term = 0;
    steady_time leaseEnd;
};

// The partitions that this instance serves. The control thread publishes them, and traffic threads
// look them up before each dispatch (rule H2 of docs/design.md). Every lookup compares the lease
// end with the current time that its caller passes, so a process that was paused finds its leases
// expired.
//
// Thread safe.
class serving_table
{
public:
    // Counts one request as in flight for as long as the ticket exists. A ticket may outlive the
    // table.
    class ticket
    {
    public:
        ticket(ticket &&other) noexcept = default;
        ticket &operator=(ticket &&other) noexcept;
        ticket(const ticket &) = delete;
        ticket &operator=(const ticket &) = delete;
        ~ticket();

        // The lease at the time of admission.
        const serving_lease &lease() const { return m_lease; }

    private:
        friend class serving_table;
        ticket(serving_lease lease, std::shared_ptr<std::atomic<size_t>> inFlight);
        // Ends the counting of the request. Has no effect after the first call.
        void release();

        serving_lease m_lease;
        std::shared_ptr<std::atomic<size_t>> m_inFlight;
    };

    explicit serving_table(lease_timing timing = {});

    // Returns the lease of the partition that contains `hash`, or nothing if no more than the
    // dispatch margin of the lease remains, the partition is stopped or no served partition
    // contains `hash`. If several partitions contain `hash`, only the one with the smallest range
    // is considered.
    std::optional<serving_lease> find(std::string_view service, uint64_t hash,
                                      steady_time now) const;
    // Like find(), but also counts the request as in flight, in one atomic step: once stop() has
    // returned, a request is either counted by inFlight() or rejected by begin().
    std::optional<ticket> begin(std::string_view service, uint64_t hash, steady_time now);

    // Starts to serve a partition under `term`, or extends its lease. Admits requests again after
    // stop().
    void publish(const std::string &partition, hash_range range, uint64_t term,
                 steady_time leaseEnd, steady_time now);
    // Sets the lease end for the requests in flight. Unlike publish(), renew() does not admit
    // requests again after stop(). Does nothing if the partition is not served under `term`.
    void renew(std::string_view partition, uint64_t term, steady_time leaseEnd);
    // Returns the current lease end, also after stop(), or nothing if the partition is not served
    // under `term`.
    std::optional<steady_time> leaseEnd(std::string_view partition, uint64_t term) const;
    // Returns the time at which this instance began to serve the partition under `term`, or nothing
    // if the partition is not served under `term`.
    std::optional<steady_time> servingSince(std::string_view partition, uint64_t term) const;
    // Stops the admission of requests for the partition until the next publish().
    void stop(const std::string &partition);
    // Returns the number of requests that begin() admitted and whose tickets still exist.
    size_t inFlight(const std::string &partition) const;

private:
    struct entry
    {
        hash_range range;
        uint64_t term = 0;
        steady_time leaseEnd;
        // Time at which this instance began to serve the partition under `term`.
        steady_time servingSince;
        bool stopped = true;
        // Number of requests in flight, shared with their tickets.
        std::shared_ptr<std::atomic<size_t>> inFlight = std::make_shared<std::atomic<size_t>>(0);
    };
    using entry_map = std::map<std::string, entry, std::less<>>;

    // Returns the entry that find() describes, or null. The caller must hold m_mutex.
    const entry_map::value_type *findEntry(std::string_view service, uint64_t hash,
                                           steady_time now) const;

    lease_timing m_timing;
    mutable std::mutex m_mutex;
    entry_map m_entries;
};

} // namespace persimmonrail
