#pragma once

#include "persimmonrail/base/request_outcome.h"

#include <optional>
#include <string_view>

namespace persimmonrail {

// Why the system itself ends a request, or one attempt at it.
enum class proxy_reason {
    None,
    // The request did not run and will not.
    NoDesiredState,
    NoRoute,
    MalformedRequest,
    MissingKey,
    NoUpstream,
    NotOwner,
    OtherUpstream,
    Draining,
    Stopping,
    Overload,
    // Not offered to the upstream, which refuses nearly all such requests now.
    OverloadExpected,
    // Large answers queue for the link of the upstream's host.
    LinkBusy,
    DeadlineUnreachable,
    PeerUnreachable,
    PeerSilent,
    UpstreamUnreachable,
    UpstreamRefused,
    KeyNotHeld,
    Quarantined,
    DeadlineBeforeSend,
    // The request may have run.
    NoResponse,
    BrokenResponse,
    MismatchedResponse,
    DeadlineExceeded,
    CallerDisconnected,
    SilentConnection,
};

// The word used in logs, metrics and the header between daemons.
std::string_view toString(proxy_reason reason);
std::optional<proxy_reason> parseProxyReason(std::string_view word);

// Status of the answer that the system gives for a reason.
int statusFor(proxy_reason reason, request_outcome outcome);
// Whether the same request may succeed at another daemon, or here a little later.
bool isRetryable(proxy_reason reason);

} // namespace persimmonrail
