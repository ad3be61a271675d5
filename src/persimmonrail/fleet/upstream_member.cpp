#include "persimmonrail/fleet/upstream_member.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/socket_address.h"

#include <tuple>

namespace persimmonrail {

std::string toString(const upstream_id &id)
{
    return id.isEmpty() ? std::string() : absl::StrCat(id.name, "/", id.startedAt);
}

bool hasMoreCapacity(const upstream_member &a, const upstream_member &b)
{
    return std::tie(b.host, a.id) < std::tie(a.host, b.id);
}

std::string encodeMember(const upstream_member &member)
{
    Poco::JSON::Object object;
    object.set("upstream", member.id.name);
    object.set("started_at_ms", member.id.startedAt);
    object.set("service", member.service);
    object.set("availability_zone", member.availabilityZone);
    object.set("peer_address", member.peerAddress);
    object.set("slots", member.slots);
    object.set("processors", member.host.processors);
    object.set("link_mbps", member.host.linkMbps);
    object.set("leaving", member.isDraining);
    object.set("gone", member.isTerminated);
    if (member.hasAnnouncedShutdown) {
        object.set("shutdown_announced", true);
    }
    return renderJson(object);
}

absl::StatusOr<upstream_member> parseMember(std::string_view json)
{
    return decodeJson(
        json, "member", [](const Poco::JSON::Object &object) -> absl::StatusOr<upstream_member> {
            upstream_member member;
            member.id.name = textMember(object, "upstream");
            member.id.startedAt = integerMember<int64_t>(object, "started_at_ms");
            member.service = textMember(object, "service");
            member.availabilityZone = textMember(object, "availability_zone");
            member.peerAddress = textMember(object, "peer_address");
            member.slots = integerMember<int>(object, "slots");
            // Daemons of earlier versions do not write these three fields.
            member.host.processors = numberMemberOr(object, "processors", 0);
            member.host.linkMbps = numberMemberOr(object, "link_mbps", 0);
            member.hasAnnouncedShutdown = flagMemberOr(object, "shutdown_announced", false);
            member.isDraining = flagMember(object, "leaving");
            member.isTerminated = flagMember(object, "gone");
            if (member.id.isEmpty() || member.service.empty() || member.slots < 1) {
                return absl::InvalidArgumentError(
                    "the member must have a name, a service and at least 1 slot");
            }
            if (const auto address = parseSocketAddress(member.peerAddress); !address.ok()) {
                return address.status();
            }
            return member;
        });
}

} // namespace persimmonrail
