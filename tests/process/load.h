#pragma once

#include "process/site.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace process_tests {

// One execution of a request, read from the journals of the upstreams.
struct journal_run
{
    std::string instance;
    std::string requestId;
    std::string method;
    std::string path;
    std::string idempotencyKey;
    std::string partition;
    uint64_t term = 0;
    // Times of CLOCK_MONOTONIC in microseconds. A run that was in progress when its process was
    // killed ends at the time of the kill.
    int64_t begin = 0;
    int64_t end = 0;
};

// Returns all runs of a site, ordered by `begin`.
std::vector<journal_run> readJournals(site &site);

// Generates load from several callers through all daemons: PUT, GET and non-repeatable POST
// requests for keys of the service haulbook, and POST requests to the service ledger. Some POST
// requests are sent again with the same idempotency key. Checks three guarantees of the product:
//   P1: a key has at most one owner at any moment.
//   P4: a request with the outcome "not-run" did not run.
//   P5: a request that is not repeatable runs at most once.
class caller_load
{
public:
    explicit caller_load(site &site);
    caller_load(const caller_load &) = delete;
    caller_load &operator=(const caller_load &) = delete;
    ~caller_load();

    // Waits for `count` further responses with the outcome "run". Returns false if they don't
    // arrive within defaultTimeout.
    bool awaitRuns(int count);
    // Sends no new requests to the caller address of this instance.
    void avoidDaemon(const std::string &instance);
    // Sends no new requests to haulbook with this key.
    void avoidKey(const std::string &key);
    // Sends no new requests to ledger.
    void avoidLedger() { m_avoidsLedger = true; }
    // Stops the load and returns a text for each violation: responses with a body or checksum that
    // no request stored, and journals that contradict P1, P4 or P5.
    std::vector<std::string> stopAndCheck();
    // Returns the number of requests that were sent and received no complete response.
    int incompleteResponses() const { return m_incompleteResponses; }
    // Returns the number of responses with the outcome "run".
    int runs() const { return m_runs; }
    // Returns a text with the number of responses for each outcome and reason.
    std::string summary();

private:
    void run(unsigned seed);
    std::string chooseDaemon(std::mt19937 &random);
    void recordResponse(const client_response &response);
    void put(std::mt19937 &random, const std::string &path);
    void get(std::mt19937 &random, const std::string &path);
    void post(std::mt19937 &random, const std::string &path);
    void checkJournals(const std::vector<journal_run> &runs);
    std::string chooseKey(std::mt19937 &random);
    void addFailure(const std::string &text);

    site &m_site;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_avoidsLedger = false;
    std::atomic<int> m_runs = 0;
    std::atomic<int> m_incompleteResponses = 0;
    std::mutex m_mutex;
    std::set<std::string> m_avoidedDaemons;
    std::set<std::string> m_avoidedKeys;
    std::map<std::string, int> m_outcomeCounts;
    // Ids of requests with the outcome "not-run".
    std::set<std::string> m_notRunRequestIds;
    // Idempotency keys whose responses all had the outcome "not-run".
    std::set<std::string> m_notRunKeys;
    // Checksums of all bodies sent to each path.
    std::map<std::string, std::set<std::string>> m_storedChecksums;
    std::vector<std::string> m_failures;
    std::vector<std::thread> m_threads;
};

} // namespace process_tests
