#pragma once

#include "persimmonrail/settings/daemon_settings.h"

#include <map>
#include <string>
#include <vector>

namespace persimmonrail {

// Describes a flag for parsing and for the help text.
struct flag_description
{
    // Name without the leading dashes.
    std::string name;
    // Placeholder for the value in the help text; empty if the flag takes no value.
    std::string value;
    std::string help;
};

// Values by flag name; a flag that takes no value has an empty string.
using flag_values = std::map<std::string, std::string>;

// Result of parsing a command line and the environment.
struct parsed_flags
{
    flag_values values;
    // Arguments that are not flags, in their order on the command line.
    std::vector<std::string> operands;
    // One error message per unknown, repeated or incomplete flag and per unknown environment
    // variable.
    std::vector<std::string> faults;
};

// Returns the name of the environment variable of a flag, such as PERSIMMONRAIL_LOG_LEVEL.
std::string environmentVariableName(const std::string &flag);

// Parses long flags with getopt_long. A flag that takes a value but is absent gets the value of its
// environment variable, if the variable is set.
//
// Not thread safe, because getopt_long keeps static state.
parsed_flags parseFlags(const std::vector<flag_description> &flags,
                        const std::vector<std::string> &arguments,
                        const environment_map &environment);

// Returns one line per flag for a help text.
std::string describeFlags(const std::vector<flag_description> &flags);

} // namespace persimmonrail
