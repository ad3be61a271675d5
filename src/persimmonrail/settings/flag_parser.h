#pragma once

#include "persimmonrail/settings/daemon_settings.h"

#include <map>
#include <string>
#include <vector>

namespace persimmonrail {

struct flag_description
{
    // Without the leading dashes.
    std::string name;
    // Placeholder of the value in the help text; empty for a flag without a value.
    std::string value;
    std::string help;
};

// Values by flag name; flags without a value map to an empty text.
using flag_values = std::map<std::string, std::string>;

struct parsed_flags
{
    flag_values values;
    // Arguments that are no flags, in order.
    std::vector<std::string> operands;
    // One message per unknown, repeated or incomplete flag and per unknown variable.
    std::vector<std::string> faults;
};

// Name of the environment variable behind a flag, such as PERSIMMONRAIL_LOG_LEVEL.
std::string variableName(const std::string &flag);

// Parses long flags with getopt_long. A flag with a value that is absent takes the value of its
// environment variable, if that is set. Not thread safe.
parsed_flags parseFlags(const std::vector<flag_description> &flags,
                        const std::vector<std::string> &arguments,
                        const environment_map &environment);

// Returns one line per flag for a help text.
std::string describeFlags(const std::vector<flag_description> &flags);

} // namespace persimmonrail
