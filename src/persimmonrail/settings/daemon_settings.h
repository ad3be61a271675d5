#pragma once

#include "persimmonrail/base/clock.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

namespace persimmonrail {

// Settings of one daemon. Addresses are "ip:port".
struct daemon_settings
{
    std::string instance;
    std::string region;
    std::string availabilityZone;
    // Service of the upstream beside the daemon; empty if the daemon only routes.
    std::string service;
    // Serves callers.
    std::string callerAddress;
    // Serves requests forwarded by other daemons.
    std::string peerAddress;
    // Serves control messages of other daemons.
    std::string controlAddress;
    // Serves health, metrics, explanations and announcements of the upstream.
    std::string adminAddress;
    std::string platformAddress;
    // Control addresses of peers that a daemon asks for state while the platform is unavailable.
    std::vector<std::string> seeds;
    // Each connection has a thread and takes 43 to 48 KiB of resident memory while it is idle, so
    // this many stay within 64 MB.
    int maxCallerConnections = 1024;
    // One of trace, debug, info, warn and error.
    std::string logLevel = "info";
    // Empty for standard error.
    std::string logFile;
    // Largest difference assumed between the wall clocks of a caller and of an owner.
    milliseconds clockSkewAllowance{5'000};
    // Time after which a graceful shutdown stops waiting for requests in flight.
    milliseconds stopTimeout{30'000};
};

enum class daemon_action {
    Run,
    // Validate the settings and exit.
    Check,
    ShowVersion,
    ShowHelp,
};

struct parsed_settings
{
    daemon_action action = daemon_action::Run;
    // Complete for Run and Check only.
    daemon_settings settings;
};

// Environment variables by name.
using environment_map = std::map<std::string, std::string>;

// Parses the arguments after the program's name. Each flag "--some-flag" falls back to the
// environment variable PERSIMMONRAIL_SOME_FLAG; the flag takes precedence. --check, --version and
// --help have no variable. Errors: InvalidArgument with one line per fault, each of which names the
// flag or the variable; the program then exits with code 2.
//
// Not thread safe, since getopt_long keeps static state.
absl::StatusOr<parsed_settings> parseDaemonSettings(const std::vector<std::string> &arguments,
                                                    const environment_map &environment);

// Converts the environment of a process, as passed to main, to a map.
environment_map environmentFrom(const char *const *variables);

// Returns the help text: one line per flag with its default.
std::string daemonHelp();

} // namespace persimmonrail
