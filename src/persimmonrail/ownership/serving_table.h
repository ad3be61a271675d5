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

// The authority under which a request may be handed to the upstream.
struct serving_lease
{
    std::string partition;
    uint64_t term = 0;
    steady_time leaseEnd;
};

// The partitions that this instance serves, published by the control thread and read by traffic
// threads before each hand-over (rule H2). A paused process finds its leases expired here, because
// every look-up compares the lease end with the caller's current time.
//
// Thread safe.
class serving_table
{
public:
    // Counts one request in flight; the count drops when the ticket is destroyed. May outlive the
    // table.
    class ticket
    {
    public:
        ticket(ticket &&other) noexcept = default;
        ticket &operator=(ticket &&other) noexcept;
        ticket(const ticket &) = delete;
        ticket &operator=(const ticket &) = delete;
        ~ticket();

        const serving_lease &lease() const { return m_lease; }

    private:
        friend class serving_table;
        ticket(serving_lease lease, std::shared_ptr<std::atomic<size_t>> count);
        void finish();

        serving_lease m_lease;
        std::shared_ptr<std::atomic<size_t>> m_count;
    };

    explicit serving_table(lease_timing timing = {});

    // Returns the lease that covers the hash if it lasts longer than the hand-over guard and the
    // partition is not stopped. The smallest range that contains the hash decides.
    std::optional<serving_lease> find(std::string_view service, uint64_t hash,
                                      steady_time now) const;
    // Like find(), and counts the request in the same step: after stop() returns, either the
    // request is counted in inFlight() or begin() has refused it.
    std::optional<ticket> begin(std::string_view service, uint64_t hash, steady_time now);

    // Starts or extends serving a partition under `term`, also after stop().
    void publish(const std::string &partition, hash_range range, uint64_t term,
                 steady_time leaseEnd, steady_time now);
    // Moves the lease end for the requests in flight; unlike publish(), it does not admit requests
    // again after stop(). Does nothing if the partition is not served under `term`.
    void renew(std::string_view partition, uint64_t term, steady_time leaseEnd);
    // Present lease end, also after stop(); nothing if the partition is not served under `term`.
    std::optional<steady_time> leaseEnd(std::string_view partition, uint64_t term) const;
    // When serving the partition under `term` began; nothing if it is not served under this term.
    std::optional<steady_time> servingSince(std::string_view partition, uint64_t term) const;
    // Admits no further requests for the partition.
    void stop(const std::string &partition);
    // Requests admitted by begin() and not finished.
    size_t inFlight(const std::string &partition) const;

private:
    struct entry
    {
        hash_range range;
        uint64_t term = 0;
        steady_time leaseEnd;
        // Start of serving under `term`.
        steady_time since;
        bool stopped = true;
        std::shared_ptr<std::atomic<size_t>> count = std::make_shared<std::atomic<size_t>>(0);
    };
    using entry_map = std::map<std::string, entry, std::less<>>;

    // Requires m_mutex.
    const entry_map::value_type *findEntry(std::string_view service, uint64_t hash,
                                           steady_time now) const;

    lease_timing m_timing;
    mutable std::mutex m_mutex;
    entry_map m_entries;
};

} // namespace persimmonrail
