#pragma once

#include "persimmonrail/base/request_outcome.h"
#include "persimmonrail/requests/idempotency_key.h"

#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmonrail {

// A response that is stored for repeated requests with the same idempotency key.
struct stored_response
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

struct at_most_once_options
{
    // Requests with keys that were issued longer ago than this are rejected, so entries need not be
    // kept longer.
    std::chrono::seconds retention{600};
    // Maximum difference assumed between the clocks of a caller and of this host.
    milliseconds clockSkew{5000};
    // New requests are rejected while the table has this many entries. An entry takes 206 bytes;
    // see docs/CAPACITY.md.
    size_t maxEntries = 200000;
    // Maximum total size of the stored responses. Beyond this size the oldest responses are
    // discarded; their entries stay.
    size_t maxResponseBytes = 16 * 1024 * 1024;
};

// The decision on a request with an idempotency key.
struct at_most_once_verdict
{
    enum class action {
        // The key is new, and the request may be dispatched. end() must follow.
        Proceed,
        // The request has run before; `response` is its stored response.
        Replay,
        // The request must not be dispatched. `outcome` and `reason` are sent to the caller.
        Reject,
    };
    action decision = action::Proceed;
    std::shared_ptr<const stored_response> response;
    request_outcome outcome = request_outcome::Unknown;
    std::string reason;
};

// Records the idempotency keys of the requests that this daemon has dispatched to its upstream, so
// that a request that must not be repeated runs at most once during one tenure. A tenure is the
// time during which one daemon owns a partition without interruption. The table has no entries of
// earlier owners. Keys that an earlier owner may have received are detected by their time of issue,
// and their requests are rejected.
//
// This class is thread-safe.
class at_most_once_table
{
public:
    explicit at_most_once_table(at_most_once_options options = {});

    // Decides on a request before its dispatch, and adds an entry if the request may proceed.
    // `tenureStart` is the time at which this daemon began to own the partition, by its own wall
    // clock.
    at_most_once_verdict begin(std::string_view service, const idempotency_key &key,
                               wall_time tenureStart, wall_time now);
    // Records the outcome of a request for which begin() returned Proceed. `response` may be null.
    // The entry of a request that did not run is removed, so that the caller may send the request
    // again.
    void end(std::string_view service, const idempotency_key &key, request_outcome outcome,
             std::shared_ptr<const stored_response> response);

    // Returns the number of entries.
    size_t size() const;
    // Returns the total size of the stored responses in bytes.
    size_t responseBytes() const;

private:
    struct entry_id
    {
        std::string service;
        idempotency_key key;
        bool operator==(const entry_id &) const = default;
    };
    struct entry_hash
    {
        size_t operator()(const entry_id &id) const;
    };
    struct entry
    {
        bool isRunning = true;
        request_outcome outcome = request_outcome::Unknown;
        std::shared_ptr<const stored_response> response;
    };

    static at_most_once_verdict verdictForExisting(const entry &existing);
    void removeExpired(wall_time now);
    void storeResponse(const entry_id &id, entry &existing,
                       std::shared_ptr<const stored_response> response);

    const at_most_once_options m_options;
    mutable std::mutex m_mutex;
    std::unordered_map<entry_id, entry, entry_hash> m_entries;
    // Entries ordered by the time of issue of their keys, for their expiry.
    std::multimap<wall_time, entry_id> m_idsByIssueTime;
    // Entries with a stored response, the oldest response first.
    std::list<entry_id> m_idsWithResponse;
    size_t m_responseBytes = 0;
};

} // namespace persimmonrail
