#include "persimmonrail/router/submitted_update.h"

#include <utility>

namespace persimmonrail {

placement_update_result updateThroughWriter(const object_api &store, const std::string &service,
                                            fleet_directory::versioned_placement base,
                                            const placement_update &update,
                                            const change_submitter &submit,
                                            const placement_update_hooks &hooks)
{
    const change_submission submission = submit();
    if (submission.isOpen() && submission.response.outcome == change_outcome::Recorded) {
        placement_update_result recorded;
        recorded.result = write_result::Written;
        recorded.isChangeOpen = true;
        recorded.isWriterUsed = true;
        recorded.isRecordAwaited = true;
        return recorded;
    }
    std::optional<stored_object> seen;
    const boot_time readAt = hooks.now();
    if (submission.isOpen()) {
        const auto object = store.get(placementKey(service, base.epoch));
        const auto placement = object.ok() ? parsePlacement(object->value)
                                           : absl::StatusOr<key_placement>(object.status());
        const bool isOfEpoch = object.ok() && epochOf(object->version) <= base.epoch;
        if (placement.ok() && isOfEpoch && object->version > base.version) {
            base.placement = *placement;
            base.version = object->version;
            seen = *object;
        }
    }
    placement_update_result result =
        updatePlacement(store, service, std::move(base), update, hooks);
    if (!result.object && seen) {
        result.object = std::move(seen);
        result.confirmedAt = readAt;
    }
    result.isChangeOpen = submission.isOpen();
    return result;
}

change_submitter alreadySubmitted()
{
    return [] { return change_submission{true, {change_outcome::Unknown, 0}}; };
}

} // namespace persimmonrail
