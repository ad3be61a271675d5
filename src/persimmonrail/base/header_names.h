#pragma once

namespace persimmonrail {

// HTTP header fields that persimmonrail defines. Callers see the outcome, the reason and the
// request id; the rest travels between daemons and to upstreams.
inline constexpr char outcomeHeader[] = "Persimmonrail-Outcome";
inline constexpr char reasonHeader[] = "Persimmonrail-Reason";
inline constexpr char requestIdHeader[] = "Persimmonrail-Request-Id";
inline constexpr char termHeader[] = "Persimmonrail-Term";
inline constexpr char partitionHeader[] = "Persimmonrail-Partition";
inline constexpr char keyHashHeader[] = "Persimmonrail-Key-Hash";
// Remaining time until the deadline in milliseconds, reduced at each hop.
inline constexpr char deadlineHeader[] = "Persimmonrail-Deadline-Ms";
// Name of the rank that the ingress daemon chose for the request.
inline constexpr char rankHeader[] = "Persimmonrail-Rank";
// Subsidiary on whose behalf the caller asks. Optional; subsidiaries share each rank fairly.
// Callers are trusted to name their own.
inline constexpr char subsidiaryHeader[] = "Persimmonrail-Subsidiary";
// Name of the instance that currently holds the partition, sent with "not owner" answers.
inline constexpr char holderHeader[] = "Persimmonrail-Holder";
// Reason why an upstream did not run a request: shed, draining or stale-grant.
inline constexpr char refusedHeader[] = "Persimmonrail-Refused";
inline constexpr char idempotencyKeyHeader[] = "Idempotency-Key";

} // namespace persimmonrail
