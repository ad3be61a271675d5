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
    // Name of the daemon, unique in the fleet.
    std::string instance;
    std::string region;
    std::string availabilityZone;
    // Service of the local upstream; empty if the daemon has no upstream and only routes.
    std::string service;
    // Listens for requests of callers.
    std::string callerAddress;
    // Listens for requests that other daemons forward.
    std::string peerAddress;
    // Listens for control messages of other daemons.
    std::string controlAddress;
    // Listens for requests for health, metrics and routing explanations, and for announcements of
    // the local upstream.
    std::string adminAddress;
    // Address of the platform's object API.
    std::string platformAddress;
    // Control addresses of peers from which the daemon pulls state while the platform is
    // unavailable.
    std::vector<std::string> seeds;
    // An idle connection has a thread and takes 43 to 48 KiB of resident memory, so 1024 of them
    // stay within 64 MB.
    int maxCallerConnections = 1024;
    // One of "trace", "debug", "info", "warn" and "error".
    std::string logLevel = "info";
    // Path of the log file; empty for standard error.
    std::string logFile;
    // Maximum difference that is assumed between the wall clocks of a caller and an owner.
    milliseconds clockSkewAllowance{5'000};
    // Bounds the wait of a graceful shutdown for requests in flight.
    milliseconds stopTimeout{30'000};
};

// What persimmonraild does after its settings are parsed.
enum class daemon_action {
    // Start the daemon.
    Run,
    // Validate the settings and exit.
    Check,
    ShowVersion,
    ShowHelp,
};

struct parsed_settings
{
    daemon_action action = daemon_action::Run;
    // Filled in for Run and Check only.
    daemon_settings settings;
};

// Values of environment variables by name.
using environment_map = std::map<std::string, std::string>;

// Parses the command line and the environment. `arguments` excludes the program name. A flag
// "--some-flag" that is absent takes the value of the environment variable
// PERSIMMONRAIL_SOME_FLAG; --check, --version and --help have no variable. Errors: InvalidArgument
// with one line per invalid setting, each of which names the flag or the variable. The program then
// exits with code 2.
//
// Not thread safe, because getopt_long keeps static state.
absl::StatusOr<parsed_settings> parseDaemonSettings(const std::vector<std::string> &arguments,
                                                    const environment_map &environment);

// Converts `variables`, a null-terminated array of "NAME=value" such as environ, to a map. Entries
// without '=' are skipped.
environment_map environmentFrom(const char *const *variables);

// Returns the help text of persimmonraild with one line per flag, which states the default value if
// there is one.
std::string daemonHelp();

} // namespace persimmonrail
