#pragma once

#include "persimmonrail/cli/command_line.h"

#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace persimmonrail {

// Platform access, hooks and output streams of one run of persimmonctl.
struct cli_session
{
    const cli_hooks &hooks;
    // All functions are empty if the command does not use the platform.
    object_api platform;
    std::ostream &out;
    std::ostream &err;

    // Prints the error message to `err` and returns Failed.
    cli_exit fail(const std::string &message) const;
    cli_exit fail(const absl::Status &status) const;
};

// Returns the object, or nullopt if the object does not exist. Errors: those of object_api::get
// other than NotFound.
absl::StatusOr<std::optional<stored_object>> getOptional(const object_api &platform,
                                                         const std::string &key);

} // namespace persimmonrail
