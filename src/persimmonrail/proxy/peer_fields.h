#pragma once

#include "persimmonrail/base/header_names.h"

namespace persimmonrail {

// Header fields between the daemon that takes a request and the one beside the upstream, besides
// those of header_names.h.
inline constexpr char upstreamHeader[] = "Persimmonrail-Upstream";
inline constexpr char upstreamStartHeader[] = "Persimmonrail-Upstream-Started-Ms";
inline constexpr char serviceHeader[] = "Persimmonrail-Service";
inline constexpr char callerServiceHeader[] = "Persimmonrail-Caller-Service";
inline constexpr char shardKeyHeader[] = "Persimmonrail-Key";
inline constexpr char repeatableHeader[] = "Persimmonrail-Repeatable";
inline constexpr char routeHeader[] = "Persimmonrail-Route";
// Time within which an answer has its full worth, in milliseconds.
inline constexpr char objectiveHeader[] = "Persimmonrail-Objective-Ms";
// Time left until the answer loses its full worth, in milliseconds; negative once it has.
inline constexpr char targetLeftHeader[] = "Persimmonrail-Target-Left-Ms";
// "running,waiting,limit,service microseconds" of the upstream's queue.
inline constexpr char queueHeader[] = "Persimmonrail-Queue";
// Time after which a refused request is worth another try, in milliseconds.
inline constexpr char retryAfterHeader[] = "Persimmonrail-Retry-After-Ms";

} // namespace persimmonrail
