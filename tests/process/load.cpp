#include "process/load.h"

#include "standins/upstream_standin.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <sstream>

namespace process_tests {
namespace {

constexpr unsigned callerCount = 4;
// Keeps the load of one caller far below the capacity of the site.
constexpr milliseconds pauseBetweenRequests{4};
constexpr int maxResends = 2;
constexpr int parishCount = 32;

} // namespace

std::vector<journal_run> readJournals(site &site)
{
    std::map<std::string, journal_run> byEntry;
    for (const auto &instance : site.instances()) {
        std::istringstream lines(readFile(site.folder() + "/" + instance->name + ".journal"));
        // time, event, entry, request id, method, path, idempotency key, partition, term, state
        constexpr size_t fieldCount = 10;
        for (std::string line; std::getline(lines, line);) {
            const std::vector<std::string> fields = absl::StrSplit(line, '\t');
            int64_t time = 0;
            // A process that is killed while it writes may leave a part of a line.
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
            const auto lostAt = instance->lostAt.value_or(std::chrono::steady_clock::now());
            run.end =
                std::chrono::duration_cast<std::chrono::microseconds>(lostAt.time_since_epoch())
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
    m_stopping = true;
    for (auto &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

bool caller_load::awaitRuns(int count)
{
    const int target = m_runs + count;
    return awaitTrue([&] { return m_runs >= target; });
}

void caller_load::avoid(const std::string &instance)
{
    const std::lock_guard lock(m_mutex);
    m_avoided.insert(instance);
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
    while (!m_stopping) {
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
        std::this_thread::sleep_for(pauseBetweenRequests);
    }
}

std::string caller_load::chooseDaemon(std::mt19937 &random)
{
    const std::lock_guard lock(m_mutex);
    const auto &instances = m_site.instances();
    for (;;) {
        const auto &instance = *instances[random() % instances.size()];
        if (!m_avoided.contains(instance.name)) {
            return instance.callers();
        }
    }
}

void caller_load::note(const http_reply &reply)
{
    if (reply.isRefused) {
        return;
    }
    m_runs += reply.outcome == "run" ? 1 : 0;
    m_cut += reply.status == 0 ? 1 : 0;
    const std::lock_guard lock(m_mutex);
    ++m_outcomes[reply.status == 0 ? "cut" : reply.outcome + " " + reply.reason];
    if (reply.outcome == "not-run") {
        m_notRun.insert(reply.requestId);
    }
}

void caller_load::put(std::mt19937 &random, const std::string &path)
{
    std::string body(1 + random() % 20'000, '\0');
    std::generate(body.begin(), body.end(), [&] { return static_cast<char>(random()); });
    const std::string checksum = persimmonrail::standinChecksum(body);
    {
        // Before the request, since a GET may see the body before the answer to the PUT.
        const std::lock_guard lock(m_mutex);
        m_stored[path].insert(checksum);
    }
    const auto reply = call("PUT", chooseDaemon(random), path, body);
    note(reply);
    // Another PUT may replace the body before the answer is made.
    const std::lock_guard lock(m_mutex);
    if (reply.ran() && !m_stored[path].contains(reply.checksum)) {
        m_failures.push_back("PUT " + path + " stored another body");
    }
}

void caller_load::get(std::mt19937 &random, const std::string &path)
{
    const auto reply = call("GET", chooseDaemon(random), path);
    note(reply);
    // The probe of the fixture stores a body too.
    if (!reply.ran() || reply.body == "probe") {
        return;
    }
    const std::string checksum = persimmonrail::standinChecksum(reply.body);
    const std::lock_guard lock(m_mutex);
    if (checksum != reply.checksum || !m_stored[path].contains(checksum)) {
        m_failures.push_back("GET " + path + " returned a body that nobody stored there");
    }
}

void caller_load::post(std::mt19937 &random, const std::string &path)
{
    const std::string key = newIdempotencyKey();
    bool mayHaveRun = false;
    for (int i = 0; i <= maxResends && !m_stopping; ++i) {
        const auto reply = call("POST", chooseDaemon(random), path, "cents=1250", key);
        note(reply);
        mayHaveRun = mayHaveRun || (!reply.isRefused && reply.outcome != "not-run");
        if (reply.ran() && i == 0 && random() % 4 != 0) {
            return;
        }
    }
    if (!mayHaveRun) {
        const std::lock_guard lock(m_mutex);
        m_keysNotRun.insert(key);
    }
}

void caller_load::fail(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_failures.push_back(text);
}

void caller_load::checkJournals(const std::vector<journal_run> &runs)
{
    std::map<std::string, int> runsOfKey;
    std::map<std::string, const journal_run *> lastOfPartition;
    std::map<std::string, const journal_run *> longestOfPath;
    for (const auto &run : runs) {
        if (!run.idempotencyKey.empty() && ++runsOfKey[run.idempotencyKey] == 2) {
            fail("P5: " + run.method + " " + run.path + " ran twice under " + run.idempotencyKey);
        }
        if (m_notRun.contains(run.requestId)) {
            fail("P4: request " + run.requestId + " was answered not-run, but ran on "
                 + run.instance);
        }
        if (m_keysNotRun.contains(run.idempotencyKey)) {
            fail("P4: every answer for " + run.idempotencyKey + " was not-run, but it ran on "
                 + run.instance);
        }
        if (run.partition.empty()) {
            continue;
        }
        const auto *&last = lastOfPartition[run.partition];
        if (last != nullptr
            && (run.term < last->term
                || (run.term == last->term && run.instance != last->instance))) {
            fail("P1: " + run.partition + " ran on " + last->instance + " with term "
                 + std::to_string(last->term) + " and then on " + run.instance + " with term "
                 + std::to_string(run.term));
        }
        last = &run;
        // Runs of ledger are divided by idempotency key, not by path.
        if (!run.path.starts_with("/haulbook/")) {
            continue;
        }
        const auto *&longest = longestOfPath[run.path];
        if (longest != nullptr && longest->instance != run.instance && run.begin < longest->end) {
            fail("P1: " + run.path + " ran on " + longest->instance + " and " + run.instance
                 + " at the same time");
        }
        if (longest == nullptr || run.end > longest->end) {
            longest = &run;
        }
    }
}

std::vector<std::string> caller_load::finish()
{
    m_stopping = true;
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
    for (const auto &[outcome, count] : m_outcomes) {
        text += outcome + ": " + std::to_string(count) + "; ";
    }
    return text;
}

} // namespace process_tests
