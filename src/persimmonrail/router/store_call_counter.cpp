#include "persimmonrail/router/store_call_counter.h"

#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/fleet/quarantine_record.h"

#include <utility>

namespace persimmonrail {

std::string_view countedName(const std::vector<counted_prefix> &prefixes, std::string_view key)
{
    const counted_prefix *longest = nullptr;
    for (const counted_prefix &counted : prefixes) {
        const bool isLonger = longest == nullptr || counted.prefix.size() > longest->prefix.size();
        if (!counted.prefix.empty() && isLonger && key.starts_with(counted.prefix)) {
            longest = &counted;
        }
    }
    return longest != nullptr ? std::string_view(longest->name) : "other";
}

std::vector<counted_prefix> routerObjects(const std::string &desiredStatePrefix,
                                          const std::string &evacuationPrefix)
{
    return {{memberKey(""), "member"},
            {placementKey(""), "placement"},
            // The records of later epochs, whose keys contain the number of the epoch.
            {std::string(fleetPrefix) + "epoch.", "placement"},
            {quarantineKey(""), "quarantine"},
            {fleetPrefix, "fleet"},
            {desiredStatePrefix, "desired-state"},
            {evacuationPrefix, "evacuation"}};
}

object_api countStoreCalls(object_api store, std::vector<counted_prefix> prefixes,
                           store_call_hook onCall)
{
    const auto count = [prefixes = std::move(prefixes),
                        onCall = std::move(onCall)](std::string_view call, const std::string &key) {
        onCall(call, countedName(prefixes, key));
    };
    object_api counted;
    counted.get = [count, get = std::move(store.get)](const std::string &key) {
        count("get", key);
        return get(key);
    };
    counted.put = [count, put = std::move(store.put)](
                      const std::string &key, uint64_t expectedVersion, const std::string &value) {
        count(expectedVersion == 0 ? "create" : "update", key);
        return put(key, expectedVersion, value);
    };
    counted.remove = [count, remove = std::move(store.remove)](const std::string &key,
                                                               uint64_t expectedVersion) {
        count("delete", key);
        return remove(key, expectedVersion);
    };
    counted.list = [count, list = std::move(store.list)](const std::string &prefix) {
        count("list", prefix);
        return list(prefix);
    };
    counted.watch = [count, watch = std::move(store.watch)](const std::string &prefix,
                                                            uint64_t revision, milliseconds wait) {
        count("watch", prefix);
        return watch(prefix, revision, wait);
    };
    return counted;
}

} // namespace persimmonrail
