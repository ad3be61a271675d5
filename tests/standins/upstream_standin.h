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

// Settings of the stand-in, fixed at its start.
struct upstream_standin_options
{
    std::string service = "standin";
    std::string instance = "standin-1";
    // "ip:port" to listen on; port 0 selects a free port.
    std::string address = "127.0.0.1:0";
    // Admin address of the daemon that receives the announcements. If empty, the stand-in sends no
    // announcements.
    std::string adminAddress;
    // Requests that run at the same time; further requests are rejected.
    int slots = 10;
    milliseconds serviceTime{0};
    // For this time after the start, requests take `warmUpFactor` times as long.
    milliseconds warmUpTime{0};
    int warmUpFactor = 10;
    // Whether requests without a valid grant for their key are rejected.
    bool checksGrants = true;
    milliseconds announceInterval{1000};
    // File to which a line is appended when a run begins and when a run ends. The file shows the
    // runs of a process that was killed. Empty for no file.
    std::string journalFile;
};

// Faults that can be injected while the stand-in runs.
struct upstream_standin_faults
{
    // Whether every request is rejected with the reason "draining" and announcements report a
    // draining upstream.
    bool draining = false;
    // Whether all responses and announcements are withheld until the field is false again.
    bool frozen = false;
    // Whether every request is rejected with the reason "shed".
    bool shedding = false;
    // Whether /v1/health reports a healthy upstream, regardless of the other faults.
    bool healthy = true;
    // Value that /v1/load reports; the share of busy slots if unset.
    std::optional<double> load;
    // The share of busy slots is sampled at most once per interval, so that the reported load is up
    // to this old. PUT /v1/faults sets the field as load_lag_ms.
    milliseconds loadSampleInterval{0};
    // Response bodies are truncated to this many bytes, and the connection is closed. A request's
    // X-Truncate header takes precedence.
    std::optional<uint64_t> truncateAfter;
};

// One execution of a request.
struct standin_run
{
    std::string requestId;
    std::string method;
    std::string path;
    std::string idempotencyKey;
    std::string partition;
    uint64_t term = 0;
    // "running", "done", "cancelled", or "broken" if the request or its response is incomplete.
    std::string state = "running";
};

// Stand-in for an upstream. PUT /<service>/<path> stores the request body, GET returns the stored
// body with its CRC-32 in X-Checksum, and POST returns how many POST requests ran for its path.
//
// Request headers control the behavior of a single request: X-Service-Ms sets the service time in
// milliseconds, X-Truncate truncates the response body to the given number of bytes, X-Chunked
// selects chunked transfer encoding, and X-Crash ends the process before the response. Besides the
// resources of the upstream protocol under /v1, the stand-in serves GET /v1/history and
// PUT /v1/faults, which sets the fields of upstream_standin_faults. Thread-safe.
class upstream_standin
{
public:
    // Starts listening and announcing. Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<upstream_standin>>
    start(const upstream_standin_options &options);
    upstream_standin(const upstream_standin &) = delete;
    upstream_standin &operator=(const upstream_standin &) = delete;
    ~upstream_standin();

    // Returns the bound address as "ip:port".
    const std::string &address() const { return m_server->address(); }
    upstream_announcement announcement() const;
    void setFaults(const upstream_standin_faults &faults);
    upstream_standin_faults faults() const;
    // Returns all runs since the start, ordered by their begin.
    std::vector<standin_run> history() const;
    // Returns the latest grant of each partition, including expired grants.
    std::vector<upstream_grant> grants() const;
    // Returns the number of requests that run at present.
    int running() const;
    // Replaces the action of X-Crash. The default action ends the process with exit code 3.
    void setCrash(std::function<void()> crash);
    // Waits until `condition` holds for the history. Returns false if `condition` does not hold
    // within `timeout`.
    bool waitFor(const std::function<bool(const std::vector<standin_run> &)> &condition,
                 milliseconds timeout) const;

private:
    explicit upstream_standin(const upstream_standin_options &options);
    void announceRepeatedly();
    // Blocks while faults().frozen is set. If the stand-in stops, the connection is closed after
    // the response.
    void waitWhileFrozen(server_exchange &exchange);
    void serve(server_exchange &exchange);
    void serveControl(server_exchange &exchange);
    void handleGrants(server_exchange &exchange);
    void handleFaults(server_exchange &exchange);
    void serveRequest(server_exchange &exchange);
    // Returns the reason for which the request is rejected, or an empty string if the request is
    // admitted. Requires m_mutex to be held.
    std::string rejectionReason(const Poco::Net::HTTPRequest &request) const;
    // Returns whether an unexpired grant covers the partition, term and key hash of the request.
    // Requires m_mutex to be held.
    bool isGranted(const Poco::Net::HTTPRequest &request) const;
    milliseconds serviceTime(const Poco::Net::HTTPRequest &request) const;
    // Runs the request and returns the final standin_run::state.
    std::string execute(server_exchange &exchange, const std::string &requestId);
    // Sends a response with the body and its checksum; returns the final standin_run::state.
    std::string sendBody(server_exchange &exchange, int status, const std::string &body);
    double currentLoad();
    std::string historyJson() const;
    // Appends a line for m_history[runIndex] to the journal file. The first field is the time of
    // CLOCK_MONOTONIC in microseconds. Requires m_mutex to be held.
    void writeJournalLine(const char *event, size_t runIndex);

    const upstream_standin_options m_options;
    const std::string m_bootId;
    const steady_time m_startedAt;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    upstream_standin_faults m_faults;
    bool m_isStopping = false;
    int m_running = 0;
    double m_sampledLoad = 0;
    steady_time m_sampledAt;
    // Latest grant of each partition with its expiry time.
    std::map<std::string, std::pair<upstream_grant, steady_time>> m_grants;
    // Ids of requests to cancel.
    std::set<std::string> m_cancelledRequests;
    std::vector<standin_run> m_history;
    // By path.
    std::map<std::string, std::shared_ptr<const std::string>> m_storedBodies;
    // Numbers of POST requests, by path.
    std::map<std::string, int> m_postCounts;
    std::function<void()> m_crash;
    std::ofstream m_journal;
    std::unique_ptr<http_server> m_server;
    std::thread m_announceThread;
};

// Returns the CRC-32 of `body` in hexadecimal, as sent in X-Checksum.
std::string standinChecksum(const std::string &body);

} // namespace persimmonrail
