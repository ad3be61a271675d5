#pragma once

#include "persimmonrail/http/http_server.h"
#include "persimmonrail/upstream/announcement.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace persimmonrail {

struct upstream_standin_options
{
    std::string service = "standin";
    std::string instance = "standin-1";
    std::string address = "127.0.0.1:0";
    // Admin address of the daemon that it announces itself to; empty announces nothing.
    std::string adminAddress;
    int slots = 10;
    milliseconds serviceTime{0};
    // During this time after its start, requests take `coldFactor` times as long.
    milliseconds coldStart{0};
    int coldFactor = 10;
    bool checksGrants = true;
    milliseconds announceInterval{1000};
    // File that gets a line when a run begins and when it ends; it outlasts a killed process.
    std::string journalFile;
};

// Behaviour that can be changed while the stand-in runs.
struct upstream_standin_faults
{
    bool draining = false;
    // Nothing is answered until it is unset.
    bool frozen = false;
    // Every request is refused.
    bool shedding = false;
    // Answer of /v1/health; a stand-in can claim to be healthy while it is not.
    bool healthy = true;
    // Answer of /v1/load; the real load if unset.
    std::optional<double> load;
    // The real load is reported as it was this long ago.
    milliseconds loadLag{0};
    // Whole bodies end after this many bytes, and the connection is closed.
    std::optional<uint64_t> truncateAfter;
};

// One request that the stand-in began to run.
struct standin_run
{
    std::string requestId;
    std::string method;
    std::string path;
    std::string idempotencyKey;
    std::string partition;
    uint64_t term = 0;
    // "running", "done", "cancelled" or "broken" if its body or answer broke off.
    std::string state = "running";
};

// Stand-in for an upstream. It stores bodies: PUT /<service>/<path> stores any bytes, GET returns
// them with their CRC-32 in X-Checksum, POST counts the runs of its path and returns the number.
//
// A request may ask for behaviour: X-Service-Ms sets its service time, X-Truncate cuts its answer
// after so many bytes, X-Chunked frames its answer in chunks, and X-Crash ends the process before
// the answer. Under /v1 it has, besides the protocol's own resources, GET /v1/history and
// PUT /v1/faults with the fields of upstream_standin_faults. Thread safe.
class upstream_standin
{
public:
    // Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<upstream_standin>>
    start(const upstream_standin_options &options);
    upstream_standin(const upstream_standin &) = delete;
    upstream_standin &operator=(const upstream_standin &) = delete;
    ~upstream_standin();

    const std::string &address() const { return m_server->address(); }
    upstream_announcement announcement() const;
    void setFaults(const upstream_standin_faults &faults);
    upstream_standin_faults faults() const;
    std::vector<standin_run> history() const;
    std::vector<upstream_grant> grants() const;
    int running() const;
    // Replaces the action of X-Crash, which ends the process by default.
    void setCrash(std::function<void()> crash);
    // Waits until `condition` holds for the history; false after `limit`.
    bool waitFor(const std::function<bool(const std::vector<standin_run> &)> &condition,
                 milliseconds limit) const;

private:
    explicit upstream_standin(const upstream_standin_options &options);
    void announceRepeatedly();
    void waitWhileFrozen(server_exchange &exchange);
    void serve(server_exchange &exchange);
    void serveControl(server_exchange &exchange);
    void takeGrants(server_exchange &exchange);
    void takeFaults(server_exchange &exchange);
    void serveRequest(server_exchange &exchange);
    std::string refusal(const Poco::Net::HTTPRequest &request) const;
    bool isGranted(const Poco::Net::HTTPRequest &request) const;
    milliseconds serviceTime(const Poco::Net::HTTPRequest &request) const;
    // Returns the final state of the run.
    std::string execute(server_exchange &exchange, const std::string &requestId);
    std::string sendBody(server_exchange &exchange, int status, const std::string &body);
    double currentLoad();
    std::string historyJson() const;
    // Writes a line with the time of CLOCK_MONOTONIC in microseconds. Called with the mutex held.
    void journal(const char *event, size_t entry);

    const upstream_standin_options m_options;
    const std::string m_bootId;
    const steady_time m_startedAt;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    upstream_standin_faults m_faults;
    bool m_stopping = false;
    int m_running = 0;
    double m_reportedLoad = 0;
    steady_time m_reportedAt;
    // By partition, with the end of its validity.
    std::map<std::string, std::pair<upstream_grant, steady_time>> m_grants;
    std::set<std::string> m_cancelled;
    std::vector<standin_run> m_history;
    std::map<std::string, std::shared_ptr<const std::string>> m_bodies;
    std::map<std::string, int> m_counts;
    std::function<void()> m_crash;
    std::ofstream m_journal;
    std::unique_ptr<http_server> m_server;
    std::thread m_announcer;
};

// The value that the stand-in sends as X-Checksum.
std::string standinChecksum(const std::string &body);

} // namespace persimmonrail
