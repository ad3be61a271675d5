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

// Bound of every wait. The product's target for a lost key is 2 s and is measured by
// tools/measure-ownership; a test on a busy machine only checks that the condition comes true.
inline constexpr milliseconds waitBound{20'000};

// Polls `condition`; false if it does not hold within the bound.
bool awaitTrue(const std::function<bool()> &condition, milliseconds bound = waitBound);

// A program of the build folder as a child process. Killed at destruction.
class child_process
{
public:
    // Standard output and error go to `outputFile`.
    child_process(const std::string &program, std::vector<std::string> arguments,
                  std::string outputFile);
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;
    ~child_process();

    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    void killAndReap();
    // Exit code, or -1 if a signal ended it; nullopt if it still runs after the bound.
    std::optional<int> awaitExit(milliseconds bound = waitBound);
    std::string output() const;

private:
    const std::string m_outputFile;
    pid_t m_pid = 0;
    std::optional<int> m_exit;
};

struct http_reply
{
    // 0 if no complete answer arrived.
    int status = 0;
    // Whether the connection was refused, so that nothing was sent.
    bool isRefused = false;
    std::string outcome;
    std::string reason;
    std::string requestId;
    std::string checksum;
    std::string body;

    bool ran() const { return status == 200 && outcome == "run"; }
};

http_reply call(const std::string &method, const std::string &address, const std::string &path,
                const std::string &body = {}, const std::string &idempotencyKey = {},
                milliseconds timeout = milliseconds(10'000));

// UUID of version 7 with the current time.
std::string newIdempotencyKey();

struct site_instance
{
    std::string name;
    std::string service;
    std::string zone;
    std::string ip;
    std::unique_ptr<child_process> daemon;
    std::unique_ptr<child_process> upstream;
    // When its upstream was killed.
    std::optional<steady_time> lostAt;

    std::string callers() const { return ip + ":7101"; }
    std::string admin() const { return ip + ":7104"; }
};

// The platform stand-in, 4 instances of haulbook and 3 of ledger (started with --ignore-grants)
// over three availability zones, on loopback addresses derived from the process id.
class site
{
public:
    // Returns when every daemon is ready and every probe key is served.
    site();
    ~site();

    site_instance &instance(const std::string &name);
    std::vector<std::unique_ptr<site_instance>> &instances() { return m_instances; }
    const std::string &platform() const { return m_platformAddress; }
    const std::string &folder() const { return m_folder; }

    void startDaemon(site_instance &instance) const;
    void startUpstream(site_instance &instance) const;
    // SIGKILL for both processes of the instance.
    static void lose(site_instance &instance);
    // POST to the platform's control path, e.g. "outage?state=on".
    void control(const std::string &command) const;
    // The platform's value of a key as text; empty if there is none.
    std::string object(const std::string &key) const;
    std::vector<persimmonrail::placement_record> placements(const std::string &service) const;
    // The daemon's answer of /v1/explain for a key of haulbook.
    static Poco::JSON::Object::Ptr explain(const site_instance &through, const std::string &key);

    // Name of the recorded owner of a key of haulbook in the daemon's view.
    static std::string ownerOf(const site_instance &through, const std::string &key);

    static std::vector<std::string> probeKeys();
    // Whether each key accepts a PUT through the daemon within the bound.
    static bool awaitServed(const site_instance &through, const std::vector<std::string> &keys);
    static bool isReady(const site_instance &instance);
    std::string dataFile(const std::string &name, const std::string &text) const;

private:
    std::string m_folder;
    std::string m_platformAddress;
    std::unique_ptr<child_process> m_platform;
    std::vector<std::unique_ptr<site_instance>> m_instances;
};

Poco::JSON::Object::Ptr parseJson(const std::string &text);
std::string readFile(const std::string &path);

} // namespace process_tests
