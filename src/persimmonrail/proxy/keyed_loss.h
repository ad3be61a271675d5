#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/keyspace/key_interval.h"
#include "persimmonrail/keyspace/key_state.h"
#include "persimmonrail/proxy/proxy_reason.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace persimmonrail {

// Why a request for a key was not served within its latency objective.
enum class loss_cause {
    // No upstream is recorded for the key, or a takeover of the key is pending.
    NoOwner,
    // The owner has released the key for a move that is not recorded yet.
    KeyMoving,
    // The recorded owner has no grant of the key in force.
    NotGranted,
    // This daemon asked an upstream that is not, or not yet, recorded for the key there.
    DirectoriesDiffer,
    // The owner leaves, or its daemon stops.
    OwnerLeaving,
    // The owner's queue rejected the request, or the request waited in the queue for too long.
    OwnerFull,
    // This daemon rejected the request by what it knew of the owner's queue.
    OwnerExpectedFull,
    // The owner's upstream took too long.
    UpstreamSlow,
    // The owner's upstream rejected the request, or gave no proper response.
    UpstreamFailed,
    // The daemon beside the owner spent the time outside its queue and its upstream.
    OwnerDaemonSlow,
    // The time was spent on the way to the daemon beside the owner, or in this daemon.
    PathSlow,
    // No connection to the daemon beside the owner, or no sign of life from it.
    PeerUnreachable,
    PeerSilent,
    Other,
};

std::string_view toString(loss_cause cause);

// How the daemon beside the upstream spent the time of a request that its upstream ran.
struct time_spent
{
    std::chrono::microseconds inQueue{0};
    std::chrono::microseconds atUpstream{0};
    // From reading the head of the request to the beginning of the response.
    std::chrono::microseconds inTotal{0};
};

// Encodes the times for the header field between daemons.
std::string encodeTimeSpent(const time_spent &spent);
// Returns nullopt if the text is malformed.
std::optional<time_spent> parseTimeSpent(std::string_view text);

// Returns why an attempt at a request for a key was not served. `state` is what the daemon beside
// the upstream told about the key; nullopt if it told nothing.
loss_cause causeOfFailure(proxy_reason reason, std::optional<key_state> state);

// Parts of the time of a request that was served.
struct served_times
{
    // From the arrival of the request to the last attempt, and why the earlier ones failed.
    std::chrono::nanoseconds beforeLastAttempt{0};
    loss_cause earlierCause = loss_cause::Other;
    std::chrono::nanoseconds lastAttempt{0};
    // Nothing if the daemon beside the upstream did not tell.
    std::optional<time_spent> spent;
};

// Returns the cause of the largest part of the time.
loss_cause causeOfDelay(const served_times &times);

// Losses of one cause at one owner.
struct loss_summary
{
    std::string service;
    loss_cause cause = loss_cause::Other;
    // Name of the recorded owner; empty if there is none.
    std::string owner;
    // Requests since the last summary.
    uint64_t notServed = 0;
    uint64_t late = 0;
    // All keys of these requests are between these two.
    shard_key firstKey = lastKey;
    shard_key lastKeySeen = 0;
    // Time since the first of an uninterrupted series of losses.
    milliseconds duration{0};
};

// Sums the losses of requests for keys by service, cause and owner. Takes the time as an argument
// and reads no clock. Thread safe.
class keyed_loss_ledger
{
public:
    struct loss
    {
        std::string service;
        loss_cause cause = loss_cause::Other;
        std::string owner;
        shard_key key = 0;
        // Whether the request was served after its objective.
        bool wasServed = false;
    };
    void record(const loss &lost, steady_time now);
    // Returns the losses since the last call, the most first and at most maxSummaries.
    std::vector<loss_summary> takeSummaries(steady_time now);

private:
    struct series
    {
        loss_summary sum;
        steady_time began;
        steady_time latest;
    };
    using series_key = std::tuple<std::string, loss_cause, std::string>;

    std::mutex m_mutex;
    std::map<series_key, series> m_series;
};

} // namespace persimmonrail
