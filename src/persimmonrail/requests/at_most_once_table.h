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

// An answer that is kept for resends.
struct stored_response
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

struct at_most_once_options
{
    // Keys issued longer ago than this are refused, so entries need not be kept longer.
    std::chrono::seconds retention{600};
    // Largest difference assumed between the clocks of a caller and of this host.
    milliseconds clockSkew{5000};
    // Entries take 206 bytes each, see docs/CAPACITY.md; at the limit new requests are refused.
    size_t maxEntries = 200000;
    // Bytes of kept answers; beyond it the oldest answers are dropped, their entries stay.
    size_t maxResponseBytes = 16 * 1024 * 1024;
};

struct at_most_once_verdict
{
    enum class action {
        // Not seen before; end() must follow.
        Proceed,
        // Ran before; `response` is its answer.
        Replay,
        // Must not be handed over; `outcome` and `reason` say why.
        Refuse,
    };
    action what = action::Proceed;
    std::shared_ptr<const stored_response> response;
    request_outcome outcome = request_outcome::Unknown;
    std::string reason;
};

// Remembers the idempotency keys that this daemon has handed to its upstream, so that a request
// that must not be repeated runs at most once under one tenure. An owner knows nothing of earlier
// owners; keys that an earlier owner may have seen are recognised by their time of issue and
// refused.
//
// Thread safe.
class at_most_once_table
{
public:
    explicit at_most_once_table(at_most_once_options options = {});

    // Decides on a request before it is handed over. `tenureStart` is when this daemon began to
    // own the partition, by its own wall clock.
    at_most_once_verdict begin(std::string_view service, const idempotency_key &key,
                               wall_time tenureStart, wall_time now);
    // Ends a request that begin() let proceed. `response` may be null. A request that did not run
    // is forgotten and may be sent again.
    void end(std::string_view service, const idempotency_key &key, request_outcome outcome,
             std::shared_ptr<const stored_response> response);

    size_t size() const;
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
        bool running = true;
        request_outcome outcome = request_outcome::Unknown;
        std::shared_ptr<const stored_response> response;
    };

    static at_most_once_verdict verdictOf(const entry &known);
    void expire(wall_time now);
    void storeResponse(const entry_id &id, entry &known,
                       std::shared_ptr<const stored_response> response);

    const at_most_once_options m_options;
    mutable std::mutex m_mutex;
    std::unordered_map<entry_id, entry, entry_hash> m_entries;
    // By time of issue, for expiry.
    std::multimap<wall_time, entry_id> m_byIssue;
    // Entries with a kept answer, the oldest first.
    std::list<entry_id> m_withResponse;
    size_t m_responseBytes = 0;
};

} // namespace persimmonrail
