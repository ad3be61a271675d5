#include "process/load.h"

#include "standins/upstream_standin.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <sstream>

namespace process_tests {
namespace {

constexpr unsigned callerCount = 4;
// Keeps the load of each caller far below the capacity of the site.
constexpr milliseconds requestDelay{4};
constexpr int maxResends = 2;
constexpr int parishCount = 32;

} // namespace

std::vector<journal_run> readJournals(site &site)
{
    std::map<std::string, journal_run> byEntry;
    for (const auto &instance : site.instances()) {
        std::istringstream lines(readFile(site.folder() + "/" + instance->name + ".journal"));
        // Fields of a line: time, event, entry, request id, method, path, idempotency key,
        // partition, term, state
        constexpr size_t fieldCount = 10;
        for (std::string line; std::getline(lines, line);) {
            const std::vector<std::string> fields = absl::StrSplit(line, '\t');
            int64_t time = 0;
            // A process that is killed during a write may leave an incomplete line.
            if (fields.size() != fieldCount || !absl::SimpleAtoi(fields[0], &time)) {
                continue;
            }
            auto &run = byEntry[fields[2]];
            if (fields[1] == "end") {
                run.end = time;
                continue;
            }
            run = {instance->name, fields[3], fields[4], fields[5], fields[6], fields[7]};
            (void)absl::SimpleAtoi(fields[8], &run.term);
            run.begin = time;
            const auto killedAt = instance->killedAt.value_or(std::chrono::steady_clock::now());
            run.end =
                std::chrono::duration_cast<std::chrono::microseconds>(killedAt.time_since_epoch())
                    .count();
        }
    }
    std::vector<journal_run> runs;
    runs.reserve(byEntry.size());
    for (const auto &[entry, run] : byEntry) {
        runs.push_back(run);
    }
    std::sort(runs.begin(), runs.end(),
              [](const auto &a, const auto &b) { return a.begin < b.begin; });
    return runs;
}

caller_load::caller_load(site &site)
    : m_site(site)
{
    for (unsigned i = 0; i < callerCount; ++i) {
        m_threads.emplace_back([this, i] { run(i + 1); });
    }
}

caller_load::~caller_load()
{
    m_isStopping = true;
    for (auto &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

bool caller_load::awaitRuns(int count)
{
    const int expectedRuns = m_runs + count;
    return awaitTrue([&] { return m_runs >= expectedRuns; });
}

void caller_load::avoidDaemon(const std::string &instance)
{
    const std::lock_guard lock(m_mutex);
    m_avoidedDaemons.insert(instance);
}

void caller_load::avoidKey(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_avoidedKeys.insert(key);
}

std::string caller_load::chooseKey(std::mt19937 &random)
{
    const auto keys = site::probeKeys();
    const std::lock_guard lock(m_mutex);
    for (;;) {
        const auto &key = keys[random() % keys.size()];
        if (!m_avoidedKeys.contains(key)) {
            return key;
        }
    }
}

void caller_load::run(unsigned seed)
{
    std::mt19937 random(seed);
    while (!m_isStopping) {
        const std::string key = chooseKey(random);
        const unsigned kind = random() % 4;
        if (kind == 0) {
            put(random, "/haulbook/hauls/" + key);
        } else if (kind == 1) {
            get(random, "/haulbook/hauls/" + key);
        } else if (kind == 2 || m_avoidsLedger) {
            post(random, "/haulbook/hauls/" + key);
        } else {
            post(random, "/ledger/credits/parish-" + std::to_string(random() % parishCount));
        }
        std::this_thread::sleep_for(requestDelay);
    }
}

std::string caller_load::chooseDaemon(std::mt19937 &random)
{
    const std::lock_guard lock(m_mutex);
    const auto &instances = m_site.instances();
    for (;;) {
        const auto &instance = *instances[random() % instances.size()];
        if (!m_avoidedDaemons.contains(instance.name)) {
            return instance.callers();
        }
    }
}

void caller_load::recordResponse(const client_response &response)
{
    if (response.isConnectionRefused) {
        return;
    }
    m_runs += response.outcome == "run" ? 1 : 0;
    m_incompleteResponses += response.status == 0 ? 1 : 0;
    const std::lock_guard lock(m_mutex);
    ++m_outcomeCounts[response.status == 0 ? "incomplete"
                                           : response.outcome + " " + response.reason];
    if (response.outcome == "not-run") {
        m_notRunRequestIds.insert(response.requestId);
    }
}

void caller_load::put(std::mt19937 &random, const std::string &path)
{
    std::string body(1 + random() % 20'000, '\0');
    std::generate(body.begin(), body.end(), [&] { return static_cast<char>(random()); });
    const std::string checksum = persimmonrail::standinChecksum(body);
    {
        // Recorded before the request, because a GET may return the body before the response to the
        // PUT arrives.
        const std::lock_guard lock(m_mutex);
        m_storedChecksums[path].insert(checksum);
    }
    const auto response = call("PUT", chooseDaemon(random), path, body);
    recordResponse(response);
    // Any checksum of the path is accepted, because a concurrent PUT may replace the body before
    // the response is sent.
    const std::lock_guard lock(m_mutex);
    if (response.ran() && !m_storedChecksums[path].contains(response.checksum)) {
        m_failures.push_back("PUT " + path
                             + " returned the checksum of a body that no request stored there");
    }
}

void caller_load::get(std::mt19937 &random, const std::string &path)
{
    const auto response = call("GET", chooseDaemon(random), path);
    recordResponse(response);
    // site::awaitKeysServed() also stores bodies.
    if (!response.ran() || response.body == "probe") {
        return;
    }
    const std::string checksum = persimmonrail::standinChecksum(response.body);
    const std::lock_guard lock(m_mutex);
    if (checksum != response.checksum || !m_storedChecksums[path].contains(checksum)) {
        m_failures.push_back("GET " + path + " returned a body that no request stored there");
    }
}

void caller_load::post(std::mt19937 &random, const std::string &path)
{
    const std::string key = generateIdempotencyKey();
    bool mayHaveRun = false;
    for (int i = 0; i <= maxResends && !m_isStopping; ++i) {
        const auto response = call("POST", chooseDaemon(random), path, "cents=1250", key);
        recordResponse(response);
        mayHaveRun = mayHaveRun || (!response.isConnectionRefused && response.outcome != "not-run");
        if (response.ran() && i == 0 && random() % 4 != 0) {
            return;
        }
    }
    if (!mayHaveRun) {
        const std::lock_guard lock(m_mutex);
        m_notRunKeys.insert(key);
    }
}

void caller_load::addFailure(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_failures.push_back(text);
}

void caller_load::checkJournals(const std::vector<journal_run> &runs)
{
    std::map<std::string, int> runsOfKey;
    std::map<std::string, const journal_run *> lastRunOfPartition;
    std::map<std::string, const journal_run *> latestEndingRunOfPath;
    for (const auto &run : runs) {
        if (!run.idempotencyKey.empty() && ++runsOfKey[run.idempotencyKey] == 2) {
            addFailure("P5: " + run.method + " " + run.path + " ran twice under "
                       + run.idempotencyKey);
        }
        if (m_notRunRequestIds.contains(run.requestId)) {
            addFailure("P4: request " + run.requestId + " had the outcome not-run, but ran on "
                       + run.instance);
        }
        if (m_notRunKeys.contains(run.idempotencyKey)) {
            addFailure("P4: every response for " + run.idempotencyKey
                       + " had the outcome not-run, but the request ran on " + run.instance);
        }
        if (run.partition.empty()) {
            continue;
        }
        const auto *&last = lastRunOfPartition[run.partition];
        if (last != nullptr
            && (run.term < last->term
                || (run.term == last->term && run.instance != last->instance))) {
            addFailure("P1: partition " + run.partition + " ran on " + last->instance
                       + " with term " + std::to_string(last->term) + " and then on " + run.instance
                       + " with term " + std::to_string(run.term));
        }
        last = &run;
        // The partition of a ledger request depends on the idempotency key instead of the path.
        if (!run.path.starts_with("/haulbook/")) {
            continue;
        }
        const auto *&latestEnding = latestEndingRunOfPath[run.path];
        if (latestEnding != nullptr && latestEnding->instance != run.instance
            && run.begin < latestEnding->end) {
            addFailure("P1: path " + run.path + " ran on " + latestEnding->instance + " and "
                       + run.instance + " at the same time");
        }
        if (latestEnding == nullptr || run.end > latestEnding->end) {
            latestEnding = &run;
        }
    }
}

std::vector<std::string> caller_load::stopAndCheck()
{
    m_isStopping = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    checkJournals(readJournals(m_site));
    return m_failures;
}

std::string caller_load::summary()
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto &[outcome, count] : m_outcomeCounts) {
        text += outcome + ": " + std::to_string(count) + "; ";
    }
    return text;
}

} // namespace process_tests
