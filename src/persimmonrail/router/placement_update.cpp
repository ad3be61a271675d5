#include "persimmonrail/router/placement_update.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Longest pause after the second conflict. Each further conflict doubles it, up to maxPause.
constexpr milliseconds initialMaxPause{10};
constexpr milliseconds maxPause{40};

// Returns how long to wait before the record is read again. The first conflict is mostly due to a
// base that was old, so the first read does not wait.
milliseconds pauseAfter(int conflicts, const random_source &random)
{
    milliseconds longest{0};
    if (conflicts > 1) {
        longest = std::min(initialMaxPause * (1 << std::min(conflicts - 2, 4)), maxPause);
    }
    return milliseconds(randomBelow(random, static_cast<uint64_t>(longest.count()) + 1));
}

} // namespace

placement_update_result updatePlacement(const object_api &store, const std::string &service,
                                        fleet_directory::versioned_placement base,
                                        const placement_update &update,
                                        const placement_update_hooks &hooks)
{
    const std::string key = placementKey(service, base.epoch);
    placement_update_result result;
    for (;;) {
        auto next = update.change(base.placement);
        if (!next) {
            result.result = write_result::Unneeded;
            return result;
        }
        const placement_write write{std::move(*next), base.version, update.reason, base.epoch};
        const std::string value = encodePlacement(write.placement);
        boot_time sentAt = hooks.now();
        const auto version = store.put(key, write.expectedVersion, value);
        result.status = version.status();
        result.fence = write.placement.highestFence;
        if (version.ok()) {
            result.object = stored_object{key, *version, false, value};
            result.result = classifyWrite(version.status(), write, *result.object);
            result.confirmedAt = sentAt;
            return result;
        }
        if (absl::IsAborted(version.status()) && update.endsAtConflict) {
            result.result = write_result::Superseded;
            ++result.conflicts;
            return result;
        }
        if (absl::IsAborted(version.status())) {
            const milliseconds pause = pauseAfter(result.conflicts + 1, hooks.random);
            if (pause.count() > 0) {
                hooks.pause(pause);
            }
        }
        sentAt = hooks.now();
        const auto readBack = store.get(key);
        if (readBack.ok()) {
            result.object = *readBack;
            result.confirmedAt = sentAt;
        }
        result.result = classifyWrite(version.status(), write, readBack);
        result.conflicts += result.result == write_result::Superseded ? 1 : 0;
        if (result.result != write_result::Superseded || hooks.now() >= update.deadline) {
            return result;
        }
        auto current = parsePlacement(readBack->value);
        if (!current.ok()) {
            return result;
        }
        base = {std::move(*current), readBack->version, base.epoch};
    }
}

} // namespace persimmonrail
