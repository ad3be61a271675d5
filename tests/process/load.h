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

// One run of a request, from the journals of the upstreams.
struct journal_run
{
    std::string instance;
    std::string requestId;
    std::string method;
    std::string path;
    std::string idempotencyKey;
    std::string partition;
    uint64_t term = 0;
    // CLOCK_MONOTONIC in microseconds. A run that a killed process did not end ends with it.
    int64_t begin = 0;
    int64_t end = 0;
};

// All runs of a site, ordered by begin.
std::vector<journal_run> readJournals(site &site);

// Callers that send PUT, GET and non-repeatable POST requests for keys of haulbook and POST
// requests to ledger through all daemons, and that resend POST requests with the same idempotency
// key. Errors are collected as texts.
class caller_load
{
public:
    explicit caller_load(site &site);
    caller_load(const caller_load &) = delete;
    caller_load &operator=(const caller_load &) = delete;
    ~caller_load();

    // Waits for this many further answers of upstreams.
    bool awaitRuns(int count);
    // No new requests go to the caller port of this instance.
    void avoid(const std::string &instance);
    // No new requests for haulbook use this key.
    void avoidKey(const std::string &key);
    // No new requests go to ledger.
    void avoidLedger() { m_avoidsLedger = true; }
    // Ends the load and returns every violated promise: of the answers (a body that is not the one
    // stored, a request cut while no daemon was lost) and of the journals (P1, P4, P5).
    std::vector<std::string> finish();
    // Requests that were sent and had no complete answer.
    int cutRequests() const { return m_cut; }
    int runs() const { return m_runs; }
    std::string summary();

private:
    void run(unsigned seed);
    std::string chooseDaemon(std::mt19937 &random);
    void note(const http_reply &reply);
    void put(std::mt19937 &random, const std::string &path);
    void get(std::mt19937 &random, const std::string &path);
    void post(std::mt19937 &random, const std::string &path);
    void checkJournals(const std::vector<journal_run> &runs);
    std::string chooseKey(std::mt19937 &random);
    void fail(const std::string &text);

    site &m_site;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_avoidsLedger = false;
    std::atomic<int> m_runs = 0;
    std::atomic<int> m_cut = 0;
    std::mutex m_mutex;
    std::set<std::string> m_avoided;
    std::set<std::string> m_avoidedKeys;
    std::map<std::string, int> m_outcomes;
    // Request ids answered "not-run".
    std::set<std::string> m_notRun;
    // Idempotency keys whose answers all were "not-run".
    std::set<std::string> m_keysNotRun;
    // Checksums of all bodies sent to a path.
    std::map<std::string, std::set<std::string>> m_stored;
    std::vector<std::string> m_failures;
    std::vector<std::thread> m_threads;
};

} // namespace process_tests
