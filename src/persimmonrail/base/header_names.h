#pragma once

namespace persimmonrail {

// Names of the HTTP header fields that persimmonrail uses. Responses to callers carry the outcome,
// the reason and the request id. The other fields occur in requests and in responses of upstreams
// and other daemons.
inline constexpr char outcomeHeader[] = "Persimmonrail-Outcome";
inline constexpr char reasonHeader[] = "Persimmonrail-Reason";
inline constexpr char requestIdHeader[] = "Persimmonrail-Request-Id";
inline constexpr char termHeader[] = "Persimmonrail-Term";
inline constexpr char partitionHeader[] = "Persimmonrail-Partition";
inline constexpr char keyHashHeader[] = "Persimmonrail-Key-Hash";
// Milliseconds that remain until the deadline; each hop reduces the value.
inline constexpr char deadlineHeader[] = "Persimmonrail-Deadline-Ms";
// Name of the request's rank, which is its priority class. The daemon that receives the request
// from the caller sets this field.
inline constexpr char rankHeader[] = "Persimmonrail-Rank";
// Name of the subsidiary on whose behalf the caller sends the request. Optional. The capacity of
// each rank is shared fairly among subsidiaries. The name is not verified; callers are trusted to
// name their own subsidiary.
inline constexpr char subsidiaryHeader[] = "Persimmonrail-Subsidiary";
// Name of the instance that currently owns the partition, in responses with the reason "not-owner".
inline constexpr char holderHeader[] = "Persimmonrail-Holder";
// Reason why an upstream rejected a request without running it: shed, draining or stale-grant.
inline constexpr char refusedHeader[] = "Persimmonrail-Refused";
// UUID of version 7 that identifies a request across its repetitions.
inline constexpr char idempotencyKeyHeader[] = "Idempotency-Key";

} // namespace persimmonrail
