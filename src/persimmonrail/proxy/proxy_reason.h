#pragma once

#include "persimmonrail/base/request_outcome.h"

#include <optional>
#include <string_view>

namespace persimmonrail {

// Why a daemon, rather than the upstream, ends a request or one attempt at it.
enum class proxy_reason {
    None,

    // Reasons for which the request did not run and will not run:
    NoDesiredState,
    NoRoute,
    MalformedRequest,
    MissingKey,
    // No upstream of the service is known that may take the request.
    NoUpstream,
    // The daemon's upstream does not own the key now.
    NotOwner,
    // The request names another upstream than the local one.
    OtherUpstream,
    // The upstream finishes its requests and takes no new ones.
    Draining,
    // The upstream's zone is evacuated.
    Evacuated,
    // The daemon is stopping.
    Stopping,
    Overload,
    // The daemon takes no more connections. Its HTTP server rejects them without reading a request.
    TooManyConnections,
    // Not sent to the upstream, which currently rejects nearly all such requests.
    OverloadExpected,
    // Large responses queue for the link of the upstream's host.
    LinkBusy,
    // The body is too large for the bytes that are in flight. It was not read.
    BodyBudget,
    DeadlineUnreachable,
    // No connection to the peer could be established. If one could when the request was sent, the
    // request may have run.
    PeerUnreachable,
    // The peer accepts connections but has responded to nothing for seconds. If it did when the
    // request was sent, the request may have run.
    PeerSilent,
    UpstreamUnreachable,
    // The upstream states that it did not run the request.
    UpstreamRefused,
    // The upstream states that it is not the one named or does not own the key.
    KeyNotHeld,
    Quarantined,
    // The deadline passed before the request was sent.
    DeadlineBeforeSend,

    // Reasons for which the request may have run:
    NoResponse,
    // The response was truncated, or not attributable to the upstream.
    BrokenResponse,
    // What arrived is no HTTP response. Daemons of earlier releases read the word for this reason
    // as BrokenResponse.
    InvalidResponse,
    MismatchedResponse,
    DeadlineExceeded,
    CallerDisconnected,
    // The connection made no progress, and the peer responded over another one that it doesn't
    // have the request.
    SilentConnection,
};

// Returns the word for the reason in logs, metrics and header fields.
std::string_view toString(proxy_reason reason);
// Returns nullopt if the word is unknown.
std::optional<proxy_reason> parseProxyReason(std::string_view word);

// Returns the HTTP status of the daemon's own response for a reason and an outcome.
int statusFor(proxy_reason reason, request_outcome outcome);
// Returns whether the same request may succeed at another daemon, or here a little later.
bool isRetryable(proxy_reason reason);

} // namespace persimmonrail
