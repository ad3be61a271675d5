#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/settings/daemon_settings.h"

#include <absl/status/statusor.h>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace persimmonrail {

// Everything that the operator command line reaches outside itself.
struct cli_hooks
{
    std::function<object_api(const std::string &platformAddress)> connect;
    // Returns the body of the answer to GET `pathAndQuery` at "ip:port".
    std::function<absl::StatusOr<std::string>(const std::string &address,
                                              const std::string &pathAndQuery)>
        httpGet;
    std::function<absl::StatusOr<std::string>(const std::string &path)> readFile;
    std::function<steady_time()> now;
    std::function<void(milliseconds)> pause;
};

// Returns the hooks of the real program: HTTP, files and the system's clock.
cli_hooks makeCliHooks();

// Exit codes of the operator command line.
enum class cli_exit { Ok = 0, Failed = 1, Usage = 2 };

// Runs one command. `arguments` are those after the program's name. Results go to `out`, messages
// to `err`. Not thread safe, since getopt_long keeps static state.
cli_exit runCommandLine(const std::vector<std::string> &arguments,
                        const environment_map &environment, const cli_hooks &hooks,
                        std::ostream &out, std::ostream &err);

} // namespace persimmonrail
