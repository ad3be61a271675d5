#pragma once

#include "persimmonrail/cli/command_line.h"

#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace persimmonrail {

// What a command of the operator command line works with.
struct cli_session
{
    const cli_hooks &hooks;
    // Without hooks for commands that do not use the platform.
    object_api platform;
    std::ostream &out;
    std::ostream &err;

    // Prints a message and returns Failed.
    cli_exit fail(const std::string &message) const;
    cli_exit fail(const absl::Status &status) const;
};

// Reads an object that may be missing.
absl::StatusOr<std::optional<stored_object>> getOptional(const object_api &platform,
                                                         const std::string &key);

} // namespace persimmonrail
