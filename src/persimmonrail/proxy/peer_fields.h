#pragma once

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/http/guarded_fields.h"

namespace persimmonrail {

// Header fields of requests and responses between the daemon that receives a caller's request and
// the daemon beside the upstream. header_names.h declares the other fields.
inline constexpr char upstreamHeader[] = "Persimmonrail-Upstream";
inline constexpr char upstreamStartHeader[] = "Persimmonrail-Upstream-Started-Ms";
inline constexpr char serviceHeader[] = "Persimmonrail-Service";
inline constexpr char callerServiceHeader[] = "Persimmonrail-Caller-Service";
inline constexpr char shardKeyHeader[] = "Persimmonrail-Key";
inline constexpr char repeatableHeader[] = "Persimmonrail-Repeatable";
// "1" if an earlier attempt at the request has reached an upstream; older daemons ignore it.
inline constexpr char retryHeader[] = "Persimmonrail-Retry";
// What is known of the caller's attempts, as toString(caller_attempt) writes it; absent if nothing
// is. Older daemons ignore it.
inline constexpr char callerAttemptHeader[] = "Persimmonrail-Caller-Attempt";
inline constexpr char routeHeader[] = "Persimmonrail-Route";
// Latency objective of the request, in milliseconds.
inline constexpr char objectiveHeader[] = "Persimmonrail-Objective-Ms";
// Time left until the latency objective ends, in milliseconds; negative once it has ended.
inline constexpr char objectiveLeftHeader[] = "Persimmonrail-Target-Left-Ms";
// "running,waiting,limit,meanServiceTime" of the upstream's queue, the last in microseconds.
inline constexpr char queueHeader[] = "Persimmonrail-Queue";
// The exact reason, if the reason field holds another one for daemons of earlier releases.
inline constexpr char exactReasonHeader[] = "Persimmonrail-Exact-Reason";
// key_state of the key of a rejected request.
inline constexpr char keyStateHeader[] = "Persimmonrail-Key-State";
// Times of a request that the upstream ran, as encodeTimeSpent() writes them.
inline constexpr char timeSpentHeader[] = "Persimmonrail-Time-Spent";
// Time after which a rejected request may be retried, in milliseconds.
inline constexpr char retryAfterHeader[] = "Persimmonrail-Retry-After-Ms";
// Availability zone of the caller; only in the first attempt at a request, so that each request
// counts once in the demand of its zone.
inline constexpr char originZoneHeader[] = "Persimmonrail-Origin-Zone";
// Availability zone of the caller, for the order of waiting requests; older daemons ignore it.
inline constexpr char callerZoneHeader[] = "Persimmonrail-Caller-Zone";
// "1" if the response should tell about the zones, since the requester's knowledge is old.
inline constexpr char zonesWantedHeader[] = "Persimmonrail-Zones-Wanted";
// States of the service in each availability zone, as encodeZoneSummary() writes them.
inline constexpr char zonesHeader[] = "Persimmonrail-Zones";

// The fields of this header and of header_names.h, in requests and responses between daemons.
inline const guarded_fields &peerFields()
{
    static const guarded_fields fields{{}, {}, "Persimmonrail-", true};
    return fields;
}

} // namespace persimmonrail
