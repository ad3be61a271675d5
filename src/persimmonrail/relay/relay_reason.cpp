#include "persimmonrail/relay/relay_reason.h"

#include <algorithm>
#include <iterator>

namespace persimmonrail {
namespace {

struct reason_entry
{
    relay_reason reason;
    std::string_view word;
    bool isPassing;
};

constexpr reason_entry reasons[] = {
    {relay_reason::None, "none", false},
    {relay_reason::NoDesiredState, "no-desired-state", false},
    {relay_reason::NoRoute, "no-route", false},
    {relay_reason::MalformedRequest, "malformed-request", false},
    {relay_reason::MissingKey, "missing-key", false},
    {relay_reason::NoUpstream, "no-upstream", true},
    {relay_reason::NotOwner, "not-owner", true},
    {relay_reason::OtherUpstream, "other-upstream", true},
    {relay_reason::Draining, "draining", true},
    {relay_reason::Stopping, "stopping", true},
    {relay_reason::Overload, "overload", true},
    {relay_reason::OverloadExpected, "overload-expected", true},
    {relay_reason::LinkBusy, "link-busy", true},
    {relay_reason::DeadlineUnreachable, "deadline-unreachable", true},
    {relay_reason::PeerUnreachable, "peer-unreachable", true},
    {relay_reason::PeerSilent, "peer-silent", true},
    {relay_reason::UpstreamUnreachable, "upstream-unreachable", true},
    {relay_reason::UpstreamRefused, "upstream-refused", true},
    {relay_reason::KeyNotHeld, "key-not-held", true},
    {relay_reason::Quarantined, "quarantined", false},
    {relay_reason::DeadlineBeforeSend, "deadline-before-send", false},
    {relay_reason::NoAnswer, "no-answer", false},
    {relay_reason::BrokenAnswer, "broken-answer", false},
    {relay_reason::ForeignAnswer, "foreign-answer", false},
    {relay_reason::DeadlineExceeded, "deadline-exceeded", false},
    {relay_reason::CallerGone, "caller-gone", false},
    {relay_reason::SilentConnection, "silent-connection", false},
};

const reason_entry &entryOf(relay_reason reason)
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

std::string_view toString(relay_reason reason)
{
    return entryOf(reason).word;
}

std::optional<relay_reason> parseRelayReason(std::string_view word)
{
    const auto *const found =
        std::find_if(std::begin(reasons), std::end(reasons),
                     [word](const reason_entry &entry) { return entry.word == word; });
    return found == std::end(reasons) ? std::nullopt : std::optional(found->reason);
}

int statusFor(relay_reason reason, request_outcome outcome)
{
    if (reason == relay_reason::NoRoute) {
        return notFound;
    }
    if (reason == relay_reason::MalformedRequest || reason == relay_reason::MissingKey) {
        return badRequest;
    }
    if (outcome == request_outcome::NotRun) {
        return unavailable;
    }
    return reason == relay_reason::DeadlineExceeded ? gatewayTimeout : badGateway;
}

bool isPassing(relay_reason reason)
{
    return entryOf(reason).isPassing;
}

} // namespace persimmonrail
