// Stand-ins for the platform's store and for instances, and machines that run the project's daemon
// as a child process. They behave like sound ones unless a case sets a fault.
#pragma once

#include "http.h"

#include <condition_variable>
#include <deque>
#include <fstream>
#include <map>
#include <optional>

#include <sys/types.h>

namespace review {

// Writes lines with the time since the start of the script to record.txt. Thread safe.
class record
{
public:
    explicit record(const std::string &path);
    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const time_point m_start = clock::now();
};

// The platform's metadata store: objects by kind and name, one revision counter, conditional
// writes, watches.
class store
{
public:
    explicit store(record &log);
    ~store();
    const std::string &address() const { return m_server->address(); }
    // Writes an object unconditionally, as an operator does.
    void put(const std::string &kind, const std::string &name, const std::string &specification);
    // From now on the response to a call is lost if `isLost` says so. Nothing further is returned
    // on its connection, which stays open.
    void loseResponses(std::function<bool(const message &call)> isLost);
    // Keeps a copy of the content, its revisions and its history.
    void copyContent();
    // From now on all calls are answered 503, which means that nothing was done, and waiting
    // watches are cut off.
    void goAway();
    // Serves again, with the content of the copy; the era rises by one.
    void returnFromCopy();

private:
    struct object
    {
        uint64_t revision = 0;
        std::string specification;
    };
    struct change
    {
        uint64_t revision;
        std::string kind;
        std::string name;
        std::string specification;
        bool isRemoval;
    };
    bool serve(connection &from, const message &call);
    message respond(const message &call);
    message watch(const std::string &kind, uint64_t revision, milliseconds wait);
    message read(const std::string &kind, const std::string &name);
    message write(const std::string &kind, std::string name, const message &call);
    void storeObject(const std::string &kind, const std::string &name,
                     const std::string &specification, bool isRemoval);
    static std::string renderObject(const std::string &name, const object &entry);

    record &m_log;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    struct content
    {
        uint64_t revision = 1;
        std::map<std::string, std::map<std::string, object>> objects;
        std::vector<change> history;
    };
    bool m_isStopping = false;
    bool m_isAway = false;
    int m_era = 1;
    uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<change> m_history;
    content m_copy;
    std::function<bool(const message &call)> m_isLost;
    std::unique_ptr<server> m_server;
};

// One run of a request at an instance.
struct run
{
    std::string requestId;
    std::string instance;
    time_point startedAt;
};

// An instance: runs requests for a set time in `slots` slots and rejects those beyond a short
// queue. Sends heartbeats to the daemon of its machine.
class instance
{
public:
    struct options
    {
        std::string id;
        std::string service;
        std::string zone = "z1";
        int slots = 9;
        int queue = 36;
        milliseconds work{20};
    };
    instance(options settings, record &log);
    ~instance();
    const std::string &address() const { return m_server->address(); }
    const options &settings() const { return m_options; }
    // Starts to send heartbeats to the address every 870 ms.
    void reportTo(const std::string &controlAddress);
    // Ends the heartbeats.
    void stopReports();
    // Sends one heartbeat and returns the status of the response; 0 without one.
    int report(const std::string &controlAddress, int sequence);
    // Announces the shutdown by a deregistration and returns the status of the response.
    int deregister(const std::string &controlAddress);
    // If `extra` returns bytes after a run, they are sent late: on the same connection, when the
    // next request has arrived there.
    void sendExtra(std::function<std::string(const std::string &requestId)> extra);
    // From now on `respond` sends the response to each request that has been run, and returns
    // whether the connection stays open.
    void setResponder(std::function<bool(connection &to, const message &request)> respond);
    std::vector<run> runs();
    int runningCount();

private:
    bool serve(connection &from, const message &request);
    bool begin();
    void end();
    void beat(const std::string &controlAddress);

    const options m_options;
    record &m_log;
    const int64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_running = 0;
    int m_waiting = 0;
    bool m_isStopping = false;
    std::vector<run> m_runs;
    std::function<std::string(const std::string &requestId)> m_extra;
    std::function<bool(connection &to, const message &request)> m_respond;
    // Bytes that are due on a connection.
    std::map<const connection *, std::string> m_due;
    std::unique_ptr<server> m_server;
    std::atomic<bool> m_isReporting{false};
    std::thread m_beats;
};

// Fields of the settings file that cases change.
struct machine_settings
{
    std::string gracePeriod = "6s";
};

// A machine with an instance and the daemon beside it, a child process.
class machine
{
public:
    machine(const std::string &name, const std::string &storeAddress, instance &app,
            const std::string &folder, record &log);
    ~machine();
    const std::string &outbound() const { return m_outbound; }
    const std::string &control() const { return m_control; }
    const std::string &name() const { return m_name; }
    bool isReady() const;
    // Writes the settings file, as the platform does.
    void writeSettings(const machine_settings &settings);
    void signal(int number);
    // Starts the daemon again after it has ended.
    void start();
    // Waits until the daemon has ended. Returns whether it has.
    bool awaitEnd(milliseconds timeout);

private:
    const std::string m_name;
    const std::string m_storeAddress;
    instance &m_app;
    record &m_log;
    const std::string m_path;
    const std::string m_outbound = freeAddress();
    const std::string m_inbound = freeAddress();
    const std::string m_ready = freeAddress();
    const std::string m_control = freeAddress();
    const std::string m_metrics = freeAddress();
    pid_t m_process = -1;
};

// Returns whether the case runs with its disruption: TROUBLE is not 0.
bool hasTrouble();
// Waits until `condition` holds, at most `longest`. Returns whether it held.
bool waitUntil(const std::function<bool()> &condition, milliseconds longest);
// A new folder for settings files; removed at the end of the program.
std::string temporaryFolder();

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

} // namespace review
