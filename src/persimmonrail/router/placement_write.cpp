#include "persimmonrail/router/placement_write.h"

namespace persimmonrail {

std::string_view toString(write_result result)
{
    switch (result) {
    case write_result::Written:
        return "written";
    case write_result::Unneeded:
        return "unneeded";
    case write_result::Superseded:
        return "lost";
    case write_result::NotApplied:
        return "undone";
    case write_result::Unconfirmed:
        return "open";
    case write_result::EpochEnded:
        return "epoch-ended";
    }
    return "open";
}

write_result classifyWrite(const absl::Status &status, const placement_write &write,
                           const absl::StatusOr<stored_object> &readBack)
{
    if (readBack.ok() && epochOf(readBack->version) > write.epoch) {
        return write_result::EpochEnded;
    }
    if (status.ok()) {
        return write_result::Written;
    }
    if (readBack.ok()) {
        const auto placement = parsePlacement(readBack->value);
        if (placement.ok() && *placement == write.placement) {
            return write_result::Written;
        }
        if (readBack->version != write.expectedVersion) {
            return write_result::Superseded;
        }
    }
    return absl::IsUnknown(status) ? write_result::Unconfirmed : write_result::NotApplied;
}

} // namespace persimmonrail
