// Stand-ins for the scripted cases of the review: the platform's store, instances and clients, and
// the daemon persimmonrail-sidecar as a child process. They follow the users' pages (PROTOCOL.md),
// run in this process on loopback addresses and write what they see to one record.
#pragma once

#include "persimmonrail/http/http_server.h"

#include <Poco/JSON/Object.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using persimmonrail::http_server;
using persimmonrail::milliseconds;
using persimmonrail::server_exchange;
using steady_time = std::chrono::steady_clock::time_point;

// Exit codes of a case.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

// What was sent, answered and run, one line an event, with the seconds since the start.
class event_record
{
public:
    explicit event_record(const std::string &path);
    void write(const std::string &text);
    // Writes a line that says how a rule was broken, and counts it.
    void breach(const std::string &text);
    int breachCount() const { return m_breaches; }
    double seconds(steady_time at) const;

private:
    const steady_time m_start = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
    std::atomic<int> m_breaches{0};
};

// Returns a loopback address that no other socket uses.
std::string freeAddress();
void sleepFor(milliseconds time);
// Polls `condition` until it holds. Returns false if it does not hold within `timeout`.
bool waitUntil(const std::function<bool()> &condition, milliseconds timeout);
int64_t unixMilliseconds();

// The platform's store: objects with revisions, conditional writes, lists and watches.
class store
{
public:
    // Returns nothing if a write is done and answered, or the time after which it is done, without
    // an answer, if its condition still holds then.
    using write_hook = std::function<std::optional<milliseconds>(const std::string &kind,
                                                                 const std::string &name,
                                                                 const std::string &specification)>;

    explicit store(event_record &record);
    ~store();
    const std::string &address() const { return m_server->address(); }
    void setWriteHook(write_hook hook);
    // Writes an object as the operator does.
    void write(const std::string &kind, const std::string &name, const std::string &specification);
    // Returns the specification of an object; empty if there is none.
    std::string read(const std::string &kind, const std::string &name);

private:
    struct entry
    {
        uint64_t revision = 0;
        std::string specification;
    };
    struct change
    {
        uint64_t revision = 0;
        std::string kind;
        std::string name;
        std::string specification;
    };
    void serve(server_exchange &exchange);
    void serveRead(server_exchange &exchange, const std::string &kind, const std::string &name,
                   const std::map<std::string, std::string> &query);
    void serveWrite(server_exchange &exchange, const std::string &kind, std::string name,
                    const std::string &body);
    // Applies a write if its condition holds. Returns the HTTP status. Requires m_mutex.
    int apply(const std::string &method, const std::string &kind, const std::string &name,
              const std::optional<uint64_t> &expected, const std::string &specification);

    event_record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, entry>> m_objects;
    std::vector<change> m_history;
    uint64_t m_revision = 1;
    write_hook m_hook;
    bool m_isStopping = false;
    std::vector<std::thread> m_lateWrites;
    std::unique_ptr<http_server> m_server;
};

struct instance_options
{
    std::string id;
    std::string service;
    std::string address;
    // Address to which the heartbeats go: `control` of the machine.
    std::string control;
    bool isKeyed = true;
    int slots = 9;
    milliseconds heartbeat{870};
    // From the start of the instance to its first heartbeat.
    milliseconds firstHeartbeatAfter{0};
    // Time that a request takes.
    milliseconds work{100};
};

// Time for which an instance held keys by one grant. `end` is when the grant runs out or was
// released, `wouldEnd` when it would have run out.
struct hold_period
{
    std::string instance;
    int from = 0;
    int to = 0;
    int64_t fence = 0;
    steady_time start;
    steady_time end;
    steady_time wouldEnd;
};

// Time for which an instance was at work on a request.
struct work_period
{
    std::string instance;
    std::string requestId;
    int key = -1;
    steady_time start;
    steady_time end;
    // All values of Caller-Service.
    std::vector<std::string> callers;
};

// What all boots of instances have seen, for the checks at the end.
struct instance_history
{
    std::mutex mutex;
    std::vector<hold_period> holds;
    std::vector<work_period> work;
};

// One boot of an instance beside a daemon.
class instance
{
public:
    // Returns what an instance does with the connection of a request instead of answering it: the
    // time after which it closes the connection.
    using loss_hook = std::function<std::optional<milliseconds>(const std::string &requestId)>;

    instance(instance_options options, event_record &record, instance_history &history);
    // Ends the boot at once, as a crash does: all connections close and nothing listens.
    ~instance();
    void setLossHook(loss_hook hook) { m_lossHook = std::move(hook); }
    // Reports "draining" until the daemon confirms. Returns the time of the confirmation.
    std::optional<steady_time> reportDraining();
    // Returns the text of the heartbeat that this boot would send now.
    std::string heartbeatBody(const std::string &state);
    // Number of heartbeats that the daemon has confirmed.
    int confirmedHeartbeats() const { return m_confirmedHeartbeats; }
    // Whether a grant that is in force covers the key.
    bool holds(int key);
    bool holdsAny();

private:
    void beat();
    bool sendHeartbeat(const std::string &state);
    void serve(server_exchange &exchange);
    void serveGrant(server_exchange &exchange, const Poco::JSON::Object &body);
    void serveRelease(server_exchange &exchange, const Poco::JSON::Object &body);
    void serveRequest(server_exchange &exchange);
    // Ends the grants of the keys. Requires m_mutex.
    void endGrants(int from, int to);

    const instance_options m_options;
    const int64_t m_born;
    event_record &m_record;
    instance_history &m_history;
    loss_hook m_lossHook;
    std::mutex m_mutex;
    std::condition_variable m_workEnded;
    std::vector<hold_period> m_grants;
    std::vector<int64_t> m_highestFences = std::vector<int64_t>(65536, 0);
    // Keys of the requests at work.
    std::multimap<int, std::string> m_running;
    int m_sequence = 0;
    std::atomic<int> m_confirmedHeartbeats{0};
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_isStopping{false};
    std::unique_ptr<http_server> m_server;
    std::thread m_beats;
};

// A machine: the addresses of its daemon, and the daemon as a child process. The destructor kills
// the process.
class machine
{
public:
    machine(std::string name, std::string zone, std::string service,
            const std::string &storeAddress, event_record &record);
    ~machine();
    // Starts the daemon by the command of the deploy file.
    void startDaemon();
    // Kills the daemon and starts it again at once.
    void killAndRestartDaemon();
    // Stops the daemon by SIGTERM and starts it again when it has ended.
    void stopAndRestartDaemon();
    bool isReady() const;
    const std::string &caller() const { return m_caller; }
    const std::string &control() const { return m_control; }
    const std::string &instanceAddress() const { return m_instanceAddress; }
    const std::string &service() const { return m_service; }

private:
    void killDaemon();

    const std::string m_name;
    const std::string m_service;
    const std::string m_caller;
    const std::string m_inbound;
    const std::string m_ready;
    const std::string m_control;
    const std::string m_instanceAddress;
    const std::string m_folder;
    event_record &m_record;
    pid_t m_pid = 0;
};

// The machines of one keyed service, each with its instance.
class keyed_service
{
public:
    // Starts `count` machines with instances "i-0", "i-1" and so on, and waits until each of them
    // holds keys. Ends the case if they don't.
    keyed_service(std::string name, int count, milliseconds work, const store &platform,
                  event_record &record, instance_history &history);
    machine &host(int index) { return *m_hosts[static_cast<size_t>(index)]; }
    instance &at(int index) { return *m_instances[static_cast<size_t>(index)]; }
    // Ends the boot of the instance at once.
    void crash(int index) { m_instances[static_cast<size_t>(index)].reset(); }
    // Starts a new boot at the same address.
    void boot(int index, const std::string &id, milliseconds firstHeartbeatAfter = {});
    // Ends all boots, so that the history is complete.
    void endAll();

private:
    const std::string m_name;
    const milliseconds m_work;
    event_record &m_record;
    instance_history &m_history;
    std::vector<std::unique_ptr<machine>> m_hosts;
    std::vector<std::unique_ptr<instance>> m_instances;
};

// Returns the desired state with one route "/ID/" for each service.
struct service_rule
{
    std::string name;
    std::string kind = "idempotent";
    bool isKeyed = true;
    milliseconds timeout{2000};
};
std::string desiredState(const std::vector<service_rule> &services);

struct answer
{
    // 0 if no complete answer came.
    int status = 0;
    std::string signature;
};
// Sends one request of a client to a daemon and records it.
answer callDaemon(event_record &record, const std::string &daemon, const std::string &id,
                  const std::string &path, std::optional<int> key, milliseconds timeout,
                  const std::vector<std::pair<std::string, std::string>> &fields = {});

// Checks the rule OWNER against the history and records each breach:
// - two instances hold the same keys for over half a second;
// - an instance is given a key on which another is still at work, before that one's hold would have
//   run out;
// - an instance takes a key with a fence that isn't above all with which other instances had it.
void checkOwner(event_record &record, instance_history &history);

// Whether the case is to play its disruption (TROUBLE is not 0).
bool hasTrouble();
// Waits until all conditions of a start hold; exits with exitNotRun otherwise.
void require(event_record &record, bool condition, const std::string &what);
// Writes the result and returns the exit code.
int finish(event_record &record);

} // namespace review
