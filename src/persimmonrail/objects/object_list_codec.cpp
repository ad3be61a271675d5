#include "persimmonrail/objects/object_list_codec.h"

#include "persimmonrail/base/json_text.h"

#include <Poco/JSON/Array.h>

namespace persimmonrail {

Poco::JSON::Object encodeObjectList(const absl::StatusOr<object_list> &outcome)
{
    Poco::JSON::Array objects;
    if (outcome.ok()) {
        for (const stored_object &stored : outcome->objects) {
            if (stored.deleted) {
                continue;
            }
            Poco::JSON::Object entry;
            entry.set("key", stored.key);
            entry.set("version", stored.version);
            entry.set("value", stored.value);
            objects.add(entry);
        }
    }
    Poco::JSON::Object object;
    object.set("code", static_cast<int>(outcome.status().code()));
    object.set("message", std::string(outcome.status().message()));
    object.set("revision", outcome.ok() ? outcome->revision : 0);
    object.set("objects", objects);
    return object;
}

absl::StatusOr<object_list> decodeObjectList(const Poco::JSON::Object &object)
{
    const int code = integerMember<int>(object, "code");
    if (code != 0) {
        return absl::Status(static_cast<absl::StatusCode>(code), textMember(object, "message"));
    }
    object_list list;
    list.revision = integerMember<uint64_t>(object, "revision");
    const Poco::JSON::Array::Ptr objects = object.getArray("objects");
    for (size_t i = 0; objects && i < objects->size(); ++i) {
        const Poco::JSON::Object::Ptr entry = objects->getObject(i);
        if (!entry) {
            return absl::InvalidArgumentError("an entry of 'objects' is not a JSON object");
        }
        list.objects.push_back({textMember(*entry, "key"),
                                integerMember<uint64_t>(*entry, "version"), false,
                                textMember(*entry, "value")});
    }
    return list;
}

} // namespace persimmonrail
