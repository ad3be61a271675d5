#include "persimmonrail/router/placement_write.h"

namespace persimmonrail {

std::string_view toString(write_result result)
{
    switch (result) {
    case write_result::Written:
        return "written";
    case write_result::Lost:
        return "lost";
    case write_result::Undone:
        return "undone";
    case write_result::Open:
        return "open";
    }
    return "open";
}

write_result judgeWrite(const absl::Status &status, const placement_write &write,
                        const absl::StatusOr<stored_object> &readBack)
{
    if (status.ok()) {
        return write_result::Written;
    }
    if (readBack.ok()) {
        const auto placement = parsePlacement(readBack->value);
        if (placement.ok() && *placement == write.placement) {
            return write_result::Written;
        }
        if (readBack->version != write.expectedVersion) {
            return write_result::Lost;
        }
    }
    return absl::IsUnknown(status) ? write_result::Open : write_result::Undone;
}

} // namespace persimmonrail
