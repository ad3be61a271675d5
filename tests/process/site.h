#pragma once

#include "persimmonrail/ownership/placement_record.h"

#include <Poco/JSON/Object.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace process_tests {

using std::chrono::milliseconds;
using steady_time = std::chrono::steady_clock::time_point;

// Default timeout of a wait. The product's objective is to serve the keys of a lost owner again
// within 2 s, which tools/measure-ownership measures; the tests, which may run on a busy machine,
// only check that the condition becomes true.
inline constexpr milliseconds defaultTimeout{20'000};

// Polls `condition` until it holds. Returns false if `condition` does not hold within `timeout`.
bool awaitTrue(const std::function<bool()> &condition, milliseconds timeout = defaultTimeout);

// A program of the build folder that runs as a child process. The destructor kills the process.
class child_process
{
public:
    // Starts the program. Standard output and standard error are written to `outputFile`.
    child_process(const std::string &program, std::vector<std::string> arguments,
                  std::string outputFile);
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;
    ~child_process();

    pid_t pid() const { return m_pid; }
    // Sends a signal, unless the process is known to have ended.
    void signal(int number) const;
    void killAndReap();
    // Waits for the end of the process. Returns the exit code, -1 if a signal ended the process, or
    // nullopt if the process still runs after `timeout`.
    std::optional<int> awaitExit(milliseconds timeout = defaultTimeout);
    // Returns the output written so far.
    std::string output() const;

private:
    const std::string m_outputFile;
    pid_t m_pid = 0;
    std::optional<int> m_exitCode;
};

// The result of a request, with the fields of the response that tests check.
struct client_response
{
    // HTTP status, or 0 if no complete response arrived.
    int status = 0;
    // Whether the connection was refused, so that nothing was sent.
    bool isConnectionRefused = false;
    std::string outcome;
    std::string reason;
    std::string requestId;
    std::string checksum;
    std::string body;

    bool ran() const { return status == 200 && outcome == "run"; }
};

// Sends a request over a new connection and waits for the response.
client_response call(const std::string &method, const std::string &address, const std::string &path,
                     const std::string &body = {}, const std::string &idempotencyKey = {},
                     milliseconds timeout = milliseconds(10'000));

// Returns a UUID of version 7 with the current time. Thread-safe.
std::string generateIdempotencyKey();

// An upstream and the daemon beside it.
struct site_instance
{
    std::string name;
    std::string service;
    std::string zone;
    std::string ip;
    std::unique_ptr<child_process> daemon;
    std::unique_ptr<child_process> upstream;
    // When lose() killed the upstream.
    std::optional<steady_time> killedAt;

    // Addresses of the daemon.
    std::string callers() const { return ip + ":7101"; }
    std::string admin() const { return ip + ":7104"; }
};

// A site of child processes: the platform stand-in, 4 instances of the service haulbook, whose keys
// are owned exclusively, and 3 instances of the service ledger, whose upstreams don't check grants.
// The instances are spread over three availability zones. The loopback addresses are derived from
// the process id and the number of the site in the process, to keep concurrent sites apart.
class site
{
public:
    // Starts all processes, applies the example documents, and returns when every daemon is ready
    // and every probe key is served. Throws std::runtime_error if a step fails.
    site();
    ~site();

    // Throws std::runtime_error if there is no such instance.
    site_instance &instance(const std::string &name);
    std::vector<std::unique_ptr<site_instance>> &instances() { return m_instances; }
    // Returns the address of the platform stand-in.
    const std::string &platform() const { return m_platformAddress; }
    // Returns the folder of the logs, journals and outputs.
    const std::string &folder() const { return m_folder; }

    void startDaemon(site_instance &instance) const;
    void startUpstream(site_instance &instance) const;
    // Kills the daemon and the upstream of the instance with SIGKILL.
    static void lose(site_instance &instance);
    // Sends a control command to the platform stand-in, e.g. "outage?state=on". Throws
    // std::runtime_error if the stand-in rejects the command.
    void sendPlatformCommand(const std::string &command) const;
    // Returns the value that the platform stores under `key`, or an empty string if there is none.
    std::string objectValue(const std::string &key) const;
    // Returns the placement records of all partitions of the service.
    std::vector<persimmonrail::placement_record> placements(const std::string &service) const;
    // Returns the daemon's /v1/explain response for a key of haulbook.
    static Poco::JSON::Object::Ptr explain(const site_instance &through, const std::string &key);

    // Returns the instance name of the recorded owner of a key of haulbook, as the daemon of
    // `through` reports.
    static std::string ownerOf(const site_instance &through, const std::string &key);

    // Returns the keys of haulbook that tests send requests for.
    static std::vector<std::string> probeKeys();
    // Sends PUT requests through the daemon until each key has accepted one. Returns false if a key
    // accepts none within 2 * defaultTimeout.
    static bool awaitKeysServed(const site_instance &through, const std::vector<std::string> &keys);
    // Returns whether /readyz of the daemon reports ready.
    static bool isReady(const site_instance &instance);
    // Writes a file into folder() and returns its path.
    std::string dataFile(const std::string &name, const std::string &text) const;

private:
    std::string m_folder;
    std::string m_platformAddress;
    std::unique_ptr<child_process> m_platform;
    std::vector<std::unique_ptr<site_instance>> m_instances;
};

// Returns an empty object if `text` is no JSON object.
Poco::JSON::Object::Ptr parseJson(const std::string &text);
// Returns an empty string if the file can't be read.
std::string readFile(const std::string &path);

} // namespace process_tests
