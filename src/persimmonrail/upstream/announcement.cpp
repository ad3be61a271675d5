#include "persimmonrail/upstream/announcement.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/socket_address.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>

#include <charconv>
#include <sstream>

namespace persimmonrail {
namespace {

constexpr int maxSlots = 100'000;

absl::StatusOr<Poco::JSON::Object::Ptr> parseObject(std::string_view json)
{
    try {
        return parseStrictJsonObject(json);
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError("not a JSON object: " + error.displayText());
    }
}

// Parses exactly 16 hexadecimal digits. Returns false if the text is anything else.
bool parseHash(const std::string &text, uint64_t &hash)
{
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, hash, 16);
    return text.size() == 16 && parsed.ec == std::errc() && parsed.ptr == end;
}

std::string toText(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

} // namespace

absl::StatusOr<upstream_announcement> parseAnnouncement(std::string_view json)
{
    const auto object = parseObject(json);
    if (!object.ok()) {
        return object.status();
    }
    upstream_announcement result;
    std::string field;
    try {
        const auto text = [&](const char *name) {
            field = name;
            return textMember(**object, name);
        };
        result.service = text("service");
        result.instance = text("instance");
        result.bootId = text("boot_id");
        result.address = text("address");
        if (const auto checked = parseSocketAddress(result.address); !checked.ok()) {
            return absl::InvalidArgumentError("address: "
                                              + std::string(checked.status().message()));
        }
        field = "slots";
        result.slots = integerMember<int>(**object, "slots");
        field = "draining";
        result.draining = flagMemberOr(**object, "draining", false);
        field = "checks_grants";
        result.checksGrants = flagMemberOr(**object, "checks_grants", false);
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError(field + ": " + error.displayText());
    }
    for (const auto &[name, value] :
         {std::pair("service", &result.service), std::pair("instance", &result.instance),
          std::pair("boot_id", &result.bootId)}) {
        if (value->empty()) {
            return absl::InvalidArgumentError(std::string(name) + ": must not be empty");
        }
    }
    if (result.slots < 1 || result.slots > maxSlots) {
        return absl::InvalidArgumentError("slots: must be between 1 and "
                                          + std::to_string(maxSlots));
    }
    return result;
}

std::string encodeAnnouncement(const upstream_announcement &announcement)
{
    Poco::JSON::Object object;
    object.set("service", announcement.service);
    object.set("instance", announcement.instance);
    object.set("address", announcement.address);
    object.set("slots", announcement.slots);
    object.set("boot_id", announcement.bootId);
    object.set("draining", announcement.draining);
    object.set("checks_grants", announcement.checksGrants);
    return toText(object);
}

std::string encodeGrants(const std::vector<upstream_grant> &grants, int64_t validMs)
{
    Poco::JSON::Array list;
    for (const upstream_grant &grant : grants) {
        Poco::JSON::Object entry;
        entry.set("partition", grant.partition);
        entry.set("term", grant.term);
        entry.set("lower", hashToString(grant.range.first));
        entry.set("upper", hashToString(grant.range.last));
        list.add(entry);
    }
    Poco::JSON::Object object;
    object.set("valid_ms", validMs);
    object.set("grants", list);
    return toText(object);
}

absl::StatusOr<std::vector<upstream_grant>> parseGrants(std::string_view json, int64_t &validMs)
{
    const auto object = parseObject(json);
    if (!object.ok()) {
        return object.status();
    }
    std::vector<upstream_grant> grants;
    try {
        validMs = integerMember<int64_t>(**object, "valid_ms");
        const Poco::JSON::Array::Ptr list = (*object)->getArray("grants");
        if (list.isNull()) {
            return absl::InvalidArgumentError("grants: missing");
        }
        for (unsigned i = 0; i < list->size(); ++i) {
            const Poco::JSON::Object::Ptr entry = list->getObject(i);
            upstream_grant grant;
            if (entry.isNull() || !parseHash(textMember(*entry, "lower"), grant.range.first)
                || !parseHash(textMember(*entry, "upper"), grant.range.last)) {
                return absl::InvalidArgumentError("grants[" + std::to_string(i)
                                                  + "]: invalid hash bounds");
            }
            grant.partition = textMember(*entry, "partition");
            grant.term = integerMember<uint64_t>(*entry, "term");
            grants.push_back(std::move(grant));
        }
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError(error.displayText());
    }
    return grants;
}

} // namespace persimmonrail
