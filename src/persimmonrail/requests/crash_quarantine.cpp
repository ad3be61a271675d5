#include "persimmonrail/requests/crash_quarantine.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace persimmonrail {
namespace {

// Parameters of the 64-bit FNV-1a hash.
constexpr uint64_t fnvOffset = 14695981039346656037ULL;
constexpr uint64_t fnvPrime = 1099511628211ULL;

} // namespace

fingerprint_builder::fingerprint_builder(std::string_view service, std::string_view method,
                                         std::string_view target, uint64_t keyHash)
    : m_hash(fnvOffset)
{
    // Each field ends with a zero byte, which no field can contain.
    for (const std::string_view field : {service, method, target}) {
        addBytes(field);
        addBytes(std::string_view("\0", 1));
    }
    for (int shift = 0; shift < 64; shift += 8) {
        const char byte = static_cast<char>(keyHash >> shift);
        addBytes({&byte, 1});
    }
}

void fingerprint_builder::addBytes(std::string_view bytes)
{
    for (const char byte : bytes) {
        m_hash = (m_hash ^ static_cast<unsigned char>(byte)) * fnvPrime;
    }
}

void fingerprint_builder::addBody(std::string_view chunk)
{
    chunk = chunk.substr(0, fingerprintBodyBytes - m_bodyBytes);
    addBytes(chunk);
    m_bodyBytes += chunk.size();
}

uint64_t fingerprint_builder::value() const
{
    return m_hash;
}

crash_quarantine::crash_quarantine(const crash_quarantine_options &options)
    : m_options(options)
{ }

uint32_t crash_quarantine::strikeParts(const suspect_record &record, steady_time now) const
{
    if (record.strikes.empty() || now >= newestStrike(record) + m_options.entryLifetime) {
        return 0;
    }
    uint32_t sum = 0;
    for (const auto &[crash, strike] : record.strikes) {
        sum += strike.crashedAt > record.respondedAt ? strike.parts : 0;
    }
    return sum;
}

bool crash_quarantine::isRejected(const suspect_record &record, steady_time now) const
{
    return strikeParts(record, now) >= m_options.strikesToReject * partsPerStrike;
}

steady_time crash_quarantine::newestStrike(const suspect_record &record)
{
    steady_time newest{};
    for (const auto &[crash, strike] : record.strikes) {
        newest = std::max(newest, strike.crashedAt);
    }
    return newest;
}

std::optional<milliseconds> crash_quarantine::remainingRejectionTime(uint64_t fingerprint,
                                                                     steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end() || !isRejected(it->second, now)) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(newestStrike(it->second) + m_options.entryLifetime
                                           - now);
}

bool crash_quarantine::rejectsAny(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_records.begin(), m_records.end(),
                       [&](const auto &item) { return isRejected(item.second, now); });
}

crash_quarantine::run_id crash_quarantine::begin()
{
    const std::lock_guard lock(m_mutex);
    const run_id run = m_nextRun++;
    m_running[run];
    return run;
}

void crash_quarantine::end(run_id run, std::optional<uint64_t> fingerprint, run_end endKind,
                           steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_running.find(run);
    if (it == m_running.end()) {
        return;
    }
    const running_request ended = it->second;
    m_running.erase(it);
    if (endKind == run_end::Responded && fingerprint) {
        recordResponse(*fingerprint, now);
    }
    if (endKind != run_end::ConnectionLost) {
        return;
    }
    if (now < ended.suspectUntil) {
        // The crash was detected before the loss of this connection.
        if (fingerprint) {
            addStrike(*fingerprint, ended.crash, {ended.strikeParts, now}, now);
        }
        return;
    }
    m_lostRequests.push_back({fingerprint, now});
    if (m_lostRequests.size() > m_options.maxLostRequests) {
        m_lostRequests.pop_front();
    }
}

size_t crash_quarantine::recordCrash(uint64_t crash, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    m_lostRequests.remove_if([&](const lost_request &lost) {
        return now - lost.lostAt > m_options.connectionLossWindow;
    });
    std::set<uint64_t> suspects;
    size_t unidentified = 0;
    for (const lost_request &lost : m_lostRequests) {
        if (lost.fingerprint) {
            suspects.insert(*lost.fingerprint);
        } else {
            ++unidentified;
        }
    }
    m_lostRequests.clear();
    const size_t count = suspects.size() + unidentified + m_running.size();
    const uint32_t parts = count == 1 ? partsPerStrike : sharedStrikeParts;
    for (auto &[run, state] : m_running) {
        state = {crash, parts, now + m_options.connectionLossWindow};
    }
    for (const uint64_t fingerprint : suspects) {
        addStrike(fingerprint, crash, {parts, now}, now);
    }
    return count;
}

void crash_quarantine::addStrike(uint64_t fingerprint, uint64_t crash, const strike &added,
                                 steady_time now)
{
    suspect_record &record = findOrCreateRecord(fingerprint, now);
    auto &strikes = record.strikes;
    if (strikeParts(record, now) == 0) {
        strikes.clear();
    }
    strikes.try_emplace(crash, added);
    if (strikes.size() > m_options.maxCrashesPerEntry) {
        strikes.erase(std::min_element(strikes.begin(), strikes.end(),
                                       [](const auto &left, const auto &right) {
                                           return left.second.crashedAt < right.second.crashedAt;
                                       }));
    }
}

// Fingerprints without strikes need no record, since they are not rejected, and one response after
// the newest strike is enough.
void crash_quarantine::recordResponse(uint64_t fingerprint, steady_time respondedAt)
{
    const auto it = m_records.find(fingerprint);
    if (it != m_records.end()
        && (!it->second.respondedAt || *it->second.respondedAt < newestStrike(it->second))) {
        it->second.respondedAt = respondedAt;
    }
}

// Returns the record of a fingerprint. Removes other records if their number is at its maximum.
crash_quarantine::suspect_record &crash_quarantine::findOrCreateRecord(uint64_t fingerprint,
                                                                       steady_time now)
{
    if (m_records.size() >= m_options.maxEntries && !m_records.contains(fingerprint)) {
        std::erase_if(m_records,
                      [&](const auto &item) { return strikeParts(item.second, now) == 0; });
        if (m_records.size() >= m_options.maxEntries) {
            // The record with the fewest strikes, and among these with the oldest strike, is the
            // weakest evidence and is removed.
            const auto weakestRecord = std::min_element(
                m_records.begin(), m_records.end(), [&](const auto &left, const auto &right) {
                    return std::pair(strikeParts(left.second, now), newestStrike(left.second))
                        < std::pair(strikeParts(right.second, now), newestStrike(right.second));
                });
            m_records.erase(weakestRecord);
        }
    }
    return m_records[fingerprint];
}

std::vector<crash_quarantine::entry> crash_quarantine::entries(size_t limit, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    struct weighted_record
    {
        uint32_t strikeParts;
        steady_time newestStrike;
        uint64_t fingerprint;
        const suspect_record *record;
    };
    std::vector<weighted_record> ordered;
    for (const auto &[fingerprint, record] : m_records) {
        ordered.push_back({strikeParts(record, now), newestStrike(record), fingerprint, &record});
    }
    std::sort(ordered.begin(), ordered.end(), [](const auto &left, const auto &right) {
        return std::tuple(right.strikeParts, right.newestStrike, left.fingerprint)
            < std::tuple(left.strikeParts, left.newestStrike, right.fingerprint);
    });
    std::vector<entry> result;
    const auto add = [&](uint64_t fingerprint, uint64_t crash, uint32_t parts, steady_time at) {
        const auto age =
            std::max(std::chrono::duration_cast<milliseconds>(now - at), milliseconds(0));
        if (result.size() < limit
            && age < m_options.entryLifetime - m_options.minRemainingLifetime) {
            result.push_back({fingerprint, crash, parts, age});
        }
    };
    for (const weighted_record &item : ordered) {
        if (item.record->respondedAt) {
            add(item.fingerprint, 0, 0, *item.record->respondedAt);
        }
        for (const auto &[crash, strike] : item.record->strikes) {
            if (strike.crashedAt > item.record->respondedAt) {
                add(item.fingerprint, crash, strike.parts, strike.crashedAt);
            }
        }
    }
    return result;
}

void crash_quarantine::merge(const std::vector<entry> &entries, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    for (const entry &received : entries) {
        if (received.age < milliseconds(0)
            || received.age >= m_options.entryLifetime - m_options.minRemainingLifetime) {
            continue;
        }
        const steady_time at = now - received.age;
        if (received.strikes == 0) {
            recordResponse(received.fingerprint, at);
        } else {
            addStrike(received.fingerprint, received.crash,
                      {std::min(received.strikes, partsPerStrike), at}, now);
        }
    }
}

size_t crash_quarantine::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_records.size();
}

} // namespace persimmonrail
