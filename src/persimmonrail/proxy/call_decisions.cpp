#include "persimmonrail/proxy/call_decisions.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// For requests that state no timeout.
constexpr milliseconds defaultTimeout{30000};
constexpr milliseconds minRetryAfter{50};
constexpr milliseconds noDesiredStateRetryAfter{500};
// Retry-After while all upstreams of a service are in evacuated zones. Operators decide when that
// ends, seldom within less.
constexpr milliseconds evacuatedRetryAfter{1000};

// Returns whether the reason suggests that the key is moving to another owner.
bool isKeyMoving(proxy_reason reason)
{
    return reason == proxy_reason::NotOwner || reason == proxy_reason::OtherUpstream
        || reason == proxy_reason::KeyNotHeld || reason == proxy_reason::Draining
        || reason == proxy_reason::Evacuated;
}

// Returns whether the directory lacks the member entry of the key's recorded owner. The entry
// arrives after the record if the owner has just joined, or if a restore of the store lost it.
bool isOwnerEntryDue(const fleet_directory &directory, std::string_view service, shard_key key)
{
    const auto *placement = directory.findPlacement(service);
    if (placement == nullptr) {
        return false;
    }
    const upstream_id &owner = placement->placement.rangeOf(key).owner;
    const auto *known = directory.findMember(owner.name);
    return !owner.isEmpty() && (known == nullptr || known->member.id.startedAt < owner.startedAt);
}

} // namespace

route_decision decideRoute(const route_table *table, const std::string &host,
                           const std::string &uri, bool isMalformed, bool isClosed)
{
    if (table == nullptr) {
        return {proxy_reason::NoDesiredState, noDesiredStateRetryAfter, nullptr};
    }
    const route *found = table->find(host, uri);
    if (found == nullptr) {
        return {proxy_reason::NoRoute, milliseconds(0), nullptr};
    }
    if (isMalformed || !table->hasOneRoute(host, uri)) {
        return {proxy_reason::MalformedRequest, milliseconds(0), found};
    }
    return {isClosed ? proxy_reason::Stopping : proxy_reason::None, milliseconds(0), found};
}

void applyRoute(proxied_request &request, const route &route)
{
    request.route = route.name;
    request.objective = route.objective;
    request.rank = route.rank;
    request.repeatable = route.repeatable;
}

steady_time callDeadline(const std::optional<milliseconds> &timeout, const route &route,
                         steady_time startedAt, steady_time shutdownDeadline)
{
    return std::min(startedAt + std::min(timeout.value_or(defaultTimeout), route.timeout),
                    shutdownDeadline);
}

const upstream_member *findServingOwner(const fleet_directory &directory, std::string_view service,
                                        shard_key key)
{
    const auto *placement = directory.findPlacement(service);
    if (placement == nullptr) {
        return nullptr;
    }
    const owned_range &range = placement->placement.rangeOf(key);
    const auto *known = directory.findMember(range.owner.name);
    if (known == nullptr || known->member.id != range.owner
        || (range.takeoverDelay.count() > 0 && !range.isCarriedOver())) {
        return nullptr;
    }
    return &known->member;
}

std::vector<const upstream_member *> openMembers(const fleet_directory &directory,
                                                 std::string_view service)
{
    std::vector<const upstream_member *> members = directory.membersOf(service);
    std::erase_if(members, [](const upstream_member *member) { return member->isDraining; });
    return members;
}

proxy_result missingMemberResult(const fleet_directory &directory, std::string_view service,
                                 const std::optional<shard_key> &key)
{
    if (isServiceEvacuated(directory, service)) {
        return serviceEvacuatedResult();
    }
    const bool isDue = key && isOwnerEntryDue(directory, service, *key);
    return notRunResult(isDue ? proxy_reason::OtherUpstream : proxy_reason::NoUpstream);
}

proxy_result serviceEvacuatedResult()
{
    return notRunResult(proxy_reason::Evacuated, evacuatedRetryAfter);
}

overload_throttle::request_class throttleClassOf(const proxied_request &request,
                                                 const upstream_id &upstream)
{
    return {request.key ? upstream : upstream_id(), request.rank, request.objective,
            isCallerRetry(request.callerAttempt)};
}

bool mayHelpToRetry(proxy_reason reason, bool hasKey)
{
    return reason != proxy_reason::OverloadExpected && (!hasKey || isKeyMoving(reason));
}

milliseconds statedRetryAfter(milliseconds retryAfter, milliseconds defaultRetryAfter)
{
    return std::max(minRetryAfter, retryAfter.count() > 0 ? retryAfter : defaultRetryAfter);
}

} // namespace persimmonrail
