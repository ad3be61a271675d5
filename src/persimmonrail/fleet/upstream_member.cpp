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
    return renderJson(object);
}

absl::StatusOr<upstream_member> parseMember(std::string_view json)
{
    return decodeJson(
        json, "member", [](const Poco::JSON::Object &object) -> absl::StatusOr<upstream_member> {
            upstream_member member;
            member.id.name = object.getValue<std::string>("upstream");
            member.id.startedAt = object.getValue<int64_t>("started_at_ms");
            member.service = object.getValue<std::string>("service");
            member.availabilityZone = object.getValue<std::string>("availability_zone");
            member.peerAddress = object.getValue<std::string>("peer_address");
            member.slots = object.getValue<int>("slots");
            // Daemons of earlier versions do not write these two fields.
            member.host.processors = object.optValue<double>("processors", 0);
            member.host.linkMbps = object.optValue<double>("link_mbps", 0);
            member.isDraining = object.getValue<bool>("leaving");
            member.isTerminated = object.getValue<bool>("gone");
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
