#include "persimmonrail/router/explanation_json.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/objects/object_version.h"

#include <Poco/JSON/Array.h>

#include <cmath>

namespace persimmonrail {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// Microseconds are the finest unit that helps a reader.
double inMilliseconds(double seconds)
{
    return std::round(seconds * 1e6) / 1e3;
}

double inMilliseconds(std::chrono::nanoseconds time)
{
    return inMilliseconds(std::chrono::duration<double>(time).count());
}

double rounded(double value)
{
    return std::round(value * 1e4) / 1e4;
}

void setAge(Object &object, const std::optional<milliseconds> &age)
{
    if (age) {
        object.set("age_ms", age->count());
    }
}

Object renderRequest(const explained_request &request)
{
    Object object;
    object.set("method", request.method);
    object.set("host", request.host);
    object.set("path", request.path);
    object.set("bytes", request.bytes);
    if (request.key) {
        object.set("key", *request.key);
    }
    if (request.timeout) {
        object.set("timeout_ms", request.timeout->count());
    }
    return object;
}

Object renderRoute(const route &route, milliseconds retryAge)
{
    Object object;
    object.set("name", route.name);
    object.set("host", route.host);
    object.set("path_prefix", route.pathPrefix);
    object.set("rank", route.rank);
    object.set("objective_ms", route.objective.count());
    object.set("timeout_ms", route.timeout.count());
    object.set("max_attempts", route.maxAttempts);
    object.set("repeatable", route.repeatable);
    object.set("estimated_retry_age_ms", retryAge.count());
    return object;
}

Object renderOwner(const explained_owner &owner)
{
    Object object;
    object.set("upstream", toString(owner.range.owner));
    object.set("serving", owner.isServing);
    object.set("fence", owner.range.fence);
    object.set("first_key", owner.range.keys.first);
    object.set("last_key", owner.range.keys.last);
    object.set("takeover_delay_ms", owner.range.takeoverDelay.count());
    object.set("placement_epoch", owner.placementEpoch);
    object.set("placement_revision", revisionOf(owner.placementVersion));
    return object;
}

Object renderReport(const queue_report &report)
{
    Object object;
    object.set("running", report.running);
    object.set("waiting", report.waiting);
    object.set("limit", report.limit);
    object.set("mean_service_ms", inMilliseconds(report.meanServiceTime));
    return object;
}

Object renderMember(const explained_member &entry)
{
    Object object;
    object.set("upstream", toString(entry.member.id));
    object.set("zone", entry.member.availabilityZone);
    object.set("daemon", entry.member.peerAddress);
    object.set("local", entry.isLocal);
    object.set("chance", rounded(entry.chance));
    object.set("expected_ms", inMilliseconds(entry.time.seconds()));
    object.set("service_ms", inMilliseconds(entry.time.serviceSeconds));
    object.set("outstanding", rounded(entry.time.outstanding));
    object.set("limit", entry.time.limit);
    object.set("in_flight", entry.time.inFlight);
    object.set("zone_factor", entry.time.zoneFactor);
    object.set("transfer_ms", inMilliseconds(entry.time.transferSeconds));
    if (entry.time.report) {
        Object report = renderReport(*entry.time.report);
        report.set("age_ms", inMilliseconds(entry.time.reportAge));
        object.set("report", report);
    }
    object.set("failures", entry.failures);
    object.set("penalty_ms", inMilliseconds(entry.penaltyLeft));
    object.set("draining", entry.member.isDraining);
    object.set("zone_evacuated", entry.isZoneEvacuated);
    object.set("daemon_silent", entry.isAvoided);
    return object;
}

Object renderZoneShare(const explained_service &service)
{
    Object object;
    object.set("leaving", rounded(service.split.leaving()));
    object.set("reason", std::string(toString(service.split.reason)));
    Object shares;
    for (const auto &[zone, share] : service.split.shares) {
        shares.set(zone, rounded(share));
    }
    object.set("to", shares);
    object.set("oldest_report_ms", inMilliseconds(service.zonesAge));
    return object;
}

std::string wordFor(quarantine_state state)
{
    switch (state) {
    case quarantine_state::Accepted:
        return "accepted";
    case quarantine_state::Rejected:
        return "rejected";
    case quarantine_state::DependsOnBody:
        return "depends-on-body";
    }
    return "";
}

Object renderLocal(const dispatch_assessment &local)
{
    Object object;
    object.set("state", std::string(toString(local.rejectReason)));
    if (local.key) {
        object.set("key_state", std::string(toString(*local.key)));
    }
    object.set("expected_wait_ms", inMilliseconds(local.expectation.wait()));
    object.set("wait_for_slot_ms", inMilliseconds(local.expectation.waitForSlot));
    object.set("wait_for_cold_limit_ms", inMilliseconds(local.expectation.waitForLimit));
    object.set("service_ms", inMilliseconds(local.expectation.serviceTime));
    object.set("must_end_within_ms", inMilliseconds(local.expectation.maxTime));
    object.set("quarantine", wordFor(local.quarantine));
    return object;
}

Object renderLocalUpstream(const local_upstream_state &local, const local_load &load)
{
    Object object;
    object.set("upstream", toString(local.id));
    object.set("service", local.service);
    object.set("state", std::string(toString(local.rejectReason)));
    object.set("state_for_keys", std::string(toString(local.keyedRejectReason)));
    object.set("queue", renderReport(load.queue));
    object.set("cold", load.isCold);
    if (load.isCold && load.coldRemaining != milliseconds::max()) {
        object.set("cold_remaining_ms", load.coldRemaining.count());
    }
    if (load.coldPermittedPerSecond > 0) {
        object.set("cold_permitted_per_s", load.coldPermittedPerSecond);
        object.set("recent_starts", load.recentStarts);
    }
    return object;
}

Object renderRejection(const explained_rejection &rejection)
{
    Object object;
    object.set("reason", std::string(toString(rejection.reason)));
    object.set("by", rejection.isBesideUpstream ? "upstream-daemon" : "caller-daemon");
    object.set("chance", rounded(rejection.chance));
    object.set("status", rejection.status);
    if (rejection.retryAfter.count() > 0) {
        object.set("retry_after_ms", rejection.retryAfter.count());
    }
    object.set("tried_again", rejection.isTriedAgain);
    return object;
}

Object renderService(const explained_service &service)
{
    Object object;
    object.set("service", service.service);
    object.set("share", rounded(service.share));
    object.set("keyed", service.isKeyed);
    if (service.owner) {
        object.set("owner", renderOwner(*service.owner));
    }
    Array members;
    for (const explained_member &member : service.members) {
        members.add(renderMember(member));
    }
    object.set("upstreams", members);
    object.set("upstreams_left_out", service.membersLeftOut);
    if (service.usesZoneShare && !service.isKeyed) {
        object.set("zone_share", renderZoneShare(service));
    }
    Object throttle;
    throttle.set("rejection_chance", rounded(service.throttle.rejectionChance));
    throttle.set("retry_after_ms", service.throttle.retryAfter.count());
    object.set("throttle", throttle);
    if (service.local) {
        object.set("local", renderLocal(*service.local));
    }
    object.set("rejection_chance", rounded(service.rejectionChance()));
    Array rejections;
    for (const explained_rejection &rejection : service.rejections) {
        rejections.add(renderRejection(rejection));
    }
    object.set("rejections", rejections);
    return object;
}

} // namespace

std::string renderExplanation(const explained_request &request,
                              const request_explanation &explanation, const explanation_ages &ages)
{
    Object object;
    object.set("request", renderRequest(request));
    object.set("zone", explanation.zone);
    object.set("local_upstream", renderLocalUpstream(explanation.local, explanation.localLoad));
    if (explanation.table != nullptr) {
        Object desiredState;
        desiredState.set("version", explanation.table->version());
        setAge(desiredState, ages.desiredState);
        object.set("desired_state", desiredState);
    }
    Object directory;
    directory.set("epoch", explanation.directoryEpoch);
    directory.set("revision", revisionOf(explanation.directoryRevision));
    setAge(directory, ages.directory);
    object.set("directory", directory);
    Object evacuations;
    setAge(evacuations, ages.evacuations);
    object.set("evacuations", evacuations);
    if (explanation.found != nullptr) {
        object.set("route", renderRoute(*explanation.found, explanation.retryAge));
    }
    if (explanation.rejected.reason != proxy_reason::None) {
        object.set("rejected", renderRejection(explanation.rejected));
    }
    Array services;
    for (const explained_service &service : explanation.services) {
        services.add(renderService(service));
    }
    object.set("services", services);
    return renderJson(object);
}

} // namespace persimmonrail
