#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/objects/http_connection_pool.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/settings/daemon_settings.h"

#include <absl/status/statusor.h>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace persimmonrail {

// Access of persimmonctl to the network, files and the clock, which tests replace.
struct cli_hooks
{
    // Returns a client of the platform's object API at "ip:port".
    std::function<object_api(const std::string &platformAddress)> makeObjectApi;
    // Returns the body of the response to GET `pathAndQuery` at "ip:port". Any status other than
    // 200 is an error.
    std::function<absl::StatusOr<std::string>(const std::string &address,
                                              const std::string &pathAndQuery)>
        httpGet;
    // Returns the response to GET `pathAndQuery` at "ip:port", whatever its status.
    std::function<absl::StatusOr<http_response>(const std::string &address,
                                                const std::string &pathAndQuery)>
        httpExchange;
    // Returns the content of a file, cut off one byte past maxDocumentBytes.
    std::function<absl::StatusOr<std::string>(const std::string &path)> readFile;
    std::function<steady_time()> now;
    std::function<void(milliseconds)> sleepFor;
};

// Returns hooks that use HTTP, the file system and the system clock.
cli_hooks makeCliHooks();

// Exit codes of persimmonctl.
enum class cli_exit {
    Ok = 0,
    Failed = 1,
    Usage = 2,
    // explain --router: the desired state has no route for the request, its service needs a key,
    // the daemon knows no desired state, the daemon does not respond.
    NoRoute = 3,
    MissingKey = 4,
    NoDesiredState = 5,
    DaemonUnreachable = 6,
};

// Runs one command of persimmonctl and returns its exit code. `arguments` excludes the program
// name. Results are written to `out`, error messages to `err`.
//
// Not thread safe, because getopt_long keeps static state.
cli_exit runCommandLine(const std::vector<std::string> &arguments,
                        const environment_map &environment, const cli_hooks &hooks,
                        std::ostream &out, std::ostream &err);

} // namespace persimmonrail
