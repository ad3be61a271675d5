#include "persimmonrail/keyspace/key_placement.h"

#include "persimmonrail/base/json_text.h"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace persimmonrail {

const owned_range &key_placement::rangeOf(shard_key key) const
{
    const auto after = std::upper_bound(
        ranges.begin(), ranges.end(), key,
        [](shard_key wanted, const owned_range &range) { return wanted < range.keys.first; });
    return *std::prev(after);
}

owned_range &key_placement::carve(key_interval keys)
{
    std::vector<owned_range> result;
    for (const owned_range &range : ranges) {
        const shard_key first = std::max(range.keys.first, keys.first);
        const shard_key last = std::min(range.keys.last, keys.last);
        if (first > last) {
            result.push_back(range);
            continue;
        }
        const auto add = [&](shard_key from, shard_key to) {
            result.push_back(range);
            result.back().keys = {from, to};
        };
        if (range.keys.first < first) {
            add(range.keys.first, first - 1);
        }
        if (!result.empty() && result.back().keys.last >= keys.first) {
            result.back().keys.last = last;
        } else {
            add(first, last);
        }
        if (last < range.keys.last) {
            add(last + 1, range.keys.last);
        }
    }
    ranges = std::move(result);
    return *std::find_if(ranges.begin(), ranges.end(),
                         [&](const owned_range &range) { return range.keys == keys; });
}

void key_placement::join()
{
    std::vector<owned_range> result;
    for (owned_range &range : ranges) {
        if (!result.empty() && result.back().owner == range.owner
            && result.back().fence == range.fence && result.back().handover == range.handover
            && result.back().takeOverAfter == range.takeOverAfter
            && result.back().previousOwner == range.previousOwner) {
            result.back().keys.last = range.keys.last;
        } else {
            result.push_back(std::move(range));
        }
    }
    ranges = std::move(result);
}

key_placement emptyPlacement(std::string service)
{
    return {std::move(service), 0, {owned_range{}}};
}

bool isWhole(const key_placement &placement)
{
    uint64_t next = 0;
    for (const owned_range &range : placement.ranges) {
        if (range.keys.first != next || range.keys.last < range.keys.first
            || range.fence > placement.highestFence) {
            return false;
        }
        next = uint64_t{range.keys.last} + 1;
    }
    return next == uint64_t{lastKey} + 1;
}

std::string encodePlacement(const key_placement &placement)
{
    Poco::JSON::Array ranges;
    for (const owned_range &range : placement.ranges) {
        Poco::JSON::Object entry;
        entry.set("first", range.keys.first);
        entry.set("last", range.keys.last);
        entry.set("owner", range.owner.name);
        entry.set("owner_started_at_ms", range.owner.startedAt);
        entry.set("fence", range.fence);
        if (!range.handover.empty()) {
            entry.set("handover", range.handover);
        }
        if (range.takeOverAfter.count() > 0) {
            entry.set("take_over_after_ms", static_cast<int64_t>(range.takeOverAfter.count()));
            entry.set("previous_owner", range.previousOwner.name);
            entry.set("previous_started_at_ms", range.previousOwner.startedAt);
        }
        ranges.add(entry);
    }
    Poco::JSON::Object object;
    object.set("service", placement.service);
    object.set("highest_fence", placement.highestFence);
    object.set("ranges", ranges);
    return renderJson(object);
}

absl::StatusOr<key_placement> parsePlacement(std::string_view json)
{
    return decodeJson(
        json, "placement", [](const Poco::JSON::Object &object) -> absl::StatusOr<key_placement> {
            key_placement placement;
            placement.service = object.getValue<std::string>("service");
            placement.highestFence = object.getValue<uint64_t>("highest_fence");
            const Poco::JSON::Array::Ptr ranges = object.getArray("ranges");
            for (size_t i = 0; ranges && i < ranges->size(); ++i) {
                const Poco::JSON::Object::Ptr entry = ranges->getObject(i);
                if (!entry) {
                    return absl::InvalidArgumentError("a range is no object");
                }
                owned_range range;
                range.keys = {entry->getValue<shard_key>("first"),
                              entry->getValue<shard_key>("last")};
                range.owner = {entry->getValue<std::string>("owner"),
                               entry->getValue<int64_t>("owner_started_at_ms")};
                range.fence = entry->getValue<uint64_t>("fence");
                range.handover = entry->optValue<std::string>("handover", "");
                range.takeOverAfter =
                    milliseconds(entry->optValue<int64_t>("take_over_after_ms", 0));
                range.previousOwner = {entry->optValue<std::string>("previous_owner", ""),
                                       entry->optValue<int64_t>("previous_started_at_ms", 0)};
                placement.ranges.push_back(std::move(range));
            }
            if (placement.service.empty() || !isWhole(placement)) {
                return absl::InvalidArgumentError("ranges do not cover the keys in order");
            }
            return placement;
        });
}

} // namespace persimmonrail
