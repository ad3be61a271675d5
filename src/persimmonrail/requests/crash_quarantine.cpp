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

bool crash_quarantine::isUnexpired(const strike_record &record, steady_time now) const
{
    return now < record.lastStrike + m_options.entryLifetime;
}

bool crash_quarantine::isRejected(const strike_record &record, steady_time now) const
{
    return record.strikeParts >= m_options.strikesToReject * partsPerStrike
        && isUnexpired(record, now);
}

std::optional<milliseconds> crash_quarantine::remainingRejectionTime(uint64_t fingerprint,
                                                                     steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_strikeRecords.find(fingerprint);
    if (it == m_strikeRecords.end() || !isRejected(it->second, now)) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(it->second.lastStrike + m_options.entryLifetime - now);
}

bool crash_quarantine::rejectsAny(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_strikeRecords.begin(), m_strikeRecords.end(),
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
    if (endKind != run_end::ConnectionLost) {
        return;
    }
    if (now < ended.suspectUntil) {
        // The crash was detected before the loss of this connection.
        if (fingerprint && ended.strikeShare > 0) {
            addStrikeParts(*fingerprint, ended.strikeShare, now);
        }
        return;
    }
    m_lostRequests.push_back({fingerprint, now});
    if (m_lostRequests.size() > m_options.maxLostRequests) {
        m_lostRequests.pop_front();
    }
}

size_t crash_quarantine::recordCrash(steady_time now)
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
    const uint32_t strikeShare = count == 0 || count > m_options.maxSuspects
        ? 0
        : partsPerStrike / static_cast<uint32_t>(count);
    for (auto &[run, state] : m_running) {
        state = {strikeShare, now + m_options.connectionLossWindow};
    }
    if (strikeShare > 0) {
        for (const uint64_t fingerprint : suspects) {
            addStrikeParts(fingerprint, strikeShare, now);
        }
    }
    return count;
}

void crash_quarantine::addStrikeParts(uint64_t fingerprint, uint32_t parts, steady_time now)
{
    const auto it = m_strikeRecords.find(fingerprint);
    const uint32_t earlierParts =
        it != m_strikeRecords.end() && isUnexpired(it->second, now) ? it->second.strikeParts : 0;
    insertRecord(fingerprint, {earlierParts + parts, now}, now);
}

// Stores the record of a fingerprint, and removes other records if the number is at its maximum.
void crash_quarantine::insertRecord(uint64_t fingerprint, const strike_record &record,
                                    steady_time now)
{
    if (m_strikeRecords.size() >= m_options.maxEntries && !m_strikeRecords.contains(fingerprint)) {
        std::erase_if(m_strikeRecords,
                      [&](const auto &item) { return !isUnexpired(item.second, now); });
        if (m_strikeRecords.size() >= m_options.maxEntries) {
            // The record with the fewest strikes, and among these with the oldest strike, is the
            // weakest evidence and is removed.
            const auto weakestRecord = std::min_element(
                m_strikeRecords.begin(), m_strikeRecords.end(),
                [](const auto &left, const auto &right) {
                    return std::pair(left.second.strikeParts, left.second.lastStrike)
                        < std::pair(right.second.strikeParts, right.second.lastStrike);
                });
            m_strikeRecords.erase(weakestRecord);
        }
    }
    m_strikeRecords[fingerprint] = record;
}

std::vector<crash_quarantine::entry> crash_quarantine::entries(size_t limit, steady_time now) const
{
    std::vector<entry> result;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[fingerprint, record] : m_strikeRecords) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - record.lastStrike);
            if (age < m_options.entryLifetime - m_options.minRemainingLifetime) {
                result.push_back({fingerprint, record.strikeParts, std::max(age, milliseconds(0))});
            }
        }
    }
    std::sort(result.begin(), result.end(), [](const entry &left, const entry &right) {
        return std::tuple(right.strikes, left.age, left.fingerprint)
            < std::tuple(left.strikes, right.age, right.fingerprint);
    });
    result.resize(std::min(result.size(), limit));
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
        const auto it = m_strikeRecords.find(received.fingerprint);
        const uint32_t knownParts = it != m_strikeRecords.end() && isUnexpired(it->second, now)
            ? it->second.strikeParts
            : 0;
        if (received.strikes > knownParts) {
            // More than 1000 strikes have no further effect, and could overflow the sum with later
            // strikes.
            const uint32_t maxMergedParts = 1000 * partsPerStrike;
            insertRecord(received.fingerprint,
                         {std::min(received.strikes, maxMergedParts), now - received.age}, now);
        }
    }
}

size_t crash_quarantine::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_strikeRecords.size();
}

} // namespace persimmonrail
