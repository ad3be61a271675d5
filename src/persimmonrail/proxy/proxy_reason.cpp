#include "persimmonrail/proxy/proxy_reason.h"

#include <algorithm>
#include <iterator>

namespace persimmonrail {
namespace {

struct reason_entry
{
    proxy_reason reason;
    std::string_view word;
    bool isRetryable;
};

constexpr reason_entry reasons[] = {
    {proxy_reason::None, "none", false},
    {proxy_reason::NoDesiredState, "no-desired-state", false},
    {proxy_reason::NoRoute, "no-route", false},
    {proxy_reason::MalformedRequest, "malformed-request", false},
    {proxy_reason::MissingKey, "missing-key", false},
    {proxy_reason::NoUpstream, "no-upstream", true},
    {proxy_reason::NotOwner, "not-owner", true},
    {proxy_reason::OtherUpstream, "other-upstream", true},
    {proxy_reason::Draining, "draining", true},
    {proxy_reason::Evacuated, "evacuated", true},
    {proxy_reason::Stopping, "stopping", true},
    {proxy_reason::Overload, "overload", true},
    {proxy_reason::TooManyConnections, "too-many-connections", true},
    {proxy_reason::OverloadExpected, "overload-expected", true},
    {proxy_reason::LinkBusy, "link-busy", true},
    {proxy_reason::BodyBudget, "body-budget", true},
    {proxy_reason::DeadlineUnreachable, "deadline-unreachable", true},
    {proxy_reason::PeerUnreachable, "peer-unreachable", true},
    {proxy_reason::PeerSilent, "peer-silent", true},
    {proxy_reason::UpstreamUnreachable, "upstream-unreachable", true},
    {proxy_reason::UpstreamRefused, "upstream-refused", true},
    {proxy_reason::KeyNotHeld, "key-not-held", true},
    {proxy_reason::Quarantined, "quarantined", false},
    {proxy_reason::DeadlineBeforeSend, "deadline-before-send", false},
    {proxy_reason::NoResponse, "no-answer", false},
    {proxy_reason::BrokenResponse, "broken-answer", false},
    {proxy_reason::InvalidResponse, "invalid-answer", false},
    {proxy_reason::MismatchedResponse, "foreign-answer", false},
    {proxy_reason::DeadlineExceeded, "deadline-exceeded", false},
    {proxy_reason::CallerDisconnected, "caller-gone", false},
    {proxy_reason::SilentConnection, "silent-connection", false},
};

const reason_entry &entryOf(proxy_reason reason)
{
    return *std::find_if(std::begin(reasons), std::end(reasons),
                         [reason](const reason_entry &entry) { return entry.reason == reason; });
}

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

} // namespace

std::string_view toString(proxy_reason reason)
{
    return entryOf(reason).word;
}

std::optional<proxy_reason> parseProxyReason(std::string_view word)
{
    const auto *const found =
        std::find_if(std::begin(reasons), std::end(reasons),
                     [word](const reason_entry &entry) { return entry.word == word; });
    return found == std::end(reasons) ? std::nullopt : std::optional(found->reason);
}

int statusFor(proxy_reason reason, request_outcome outcome)
{
    if (reason == proxy_reason::NoRoute) {
        return notFound;
    }
    if (reason == proxy_reason::MalformedRequest || reason == proxy_reason::MissingKey) {
        return badRequest;
    }
    if (outcome == request_outcome::NotRun) {
        return unavailable;
    }
    return reason == proxy_reason::DeadlineExceeded ? gatewayTimeout : badGateway;
}

bool isRetryable(proxy_reason reason)
{
    return entryOf(reason).isRetryable;
}

} // namespace persimmonrail
