#include "persimmonrail/requests/crash_quarantine.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace persimmonrail {
namespace {

// FNV-1a, 64 bits.
constexpr uint64_t fnvOffset = 14695981039346656037ULL;
constexpr uint64_t fnvPrime = 1099511628211ULL;

} // namespace

fingerprint_builder::fingerprint_builder(std::string_view service, std::string_view method,
                                         std::string_view target, uint64_t keyHash)
    : m_state(fnvOffset)
{
    // Zero bytes separate the fields; none of them can contain one.
    for (const std::string_view field : {service, method, target}) {
        add(field);
        add(std::string_view("\0", 1));
    }
    for (int shift = 0; shift < 64; shift += 8) {
        const char byte = static_cast<char>(keyHash >> shift);
        add({&byte, 1});
    }
}

void fingerprint_builder::add(std::string_view bytes)
{
    for (const char byte : bytes) {
        m_state = (m_state ^ static_cast<unsigned char>(byte)) * fnvPrime;
    }
}

void fingerprint_builder::addBody(std::string_view piece)
{
    piece = piece.substr(0, fingerprintBodyBytes - m_bodyBytes);
    add(piece);
    m_bodyBytes += piece.size();
}

uint64_t fingerprint_builder::value() const
{
    return m_state;
}

crash_quarantine::crash_quarantine(const crash_quarantine_options &options)
    : m_options(options)
{ }

bool crash_quarantine::isAlive(const record &record, steady_time now) const
{
    return now < record.lastStrike + m_options.entryLife;
}

bool crash_quarantine::isRefused(const record &record, steady_time now) const
{
    return record.strikes >= m_options.strikesToRefuse * strikeParts && isAlive(record, now);
}

std::optional<milliseconds> crash_quarantine::refusedFor(uint64_t fingerprint,
                                                         steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end() || !isRefused(it->second, now)) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(it->second.lastStrike + m_options.entryLife - now);
}

bool crash_quarantine::refusesAny(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_records.begin(), m_records.end(),
                       [&](const auto &item) { return isRefused(item.second, now); });
}

crash_quarantine::run_id crash_quarantine::begin()
{
    const std::lock_guard lock(m_mutex);
    const run_id run = m_nextRun++;
    m_running[run];
    return run;
}

void crash_quarantine::end(run_id run, std::optional<uint64_t> fingerprint, run_end how,
                           steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_running.find(run);
    if (it == m_running.end()) {
        return;
    }
    const running ended = it->second;
    m_running.erase(it);
    if (how != run_end::ConnectionLost) {
        return;
    }
    if (now < ended.until) {
        // The crash was noticed before the loss of this connection.
        if (fingerprint && ended.share > 0) {
            strike(*fingerprint, ended.share, now);
        }
        return;
    }
    m_lost.push_back({fingerprint, now});
    if (m_lost.size() > m_options.maxLost) {
        m_lost.pop_front();
    }
}

void crash_quarantine::noteCrash(steady_time now)
{
    const std::lock_guard lock(m_mutex);
    m_lost.remove_if([&](const lost_run &lost) { return now - lost.at > m_options.lossWindow; });
    std::set<uint64_t> suspects;
    size_t unidentified = 0;
    for (const lost_run &lost : m_lost) {
        if (lost.fingerprint) {
            suspects.insert(*lost.fingerprint);
        } else {
            ++unidentified;
        }
    }
    m_lost.clear();
    const size_t count = suspects.size() + unidentified + m_running.size();
    const uint32_t share = count == 0 || count > m_options.maxSuspects
        ? 0
        : strikeParts / static_cast<uint32_t>(count);
    for (auto &[run, state] : m_running) {
        state = {share, now + m_options.lossWindow};
    }
    if (share > 0) {
        for (const uint64_t fingerprint : suspects) {
            strike(fingerprint, share, now);
        }
    }
}

void crash_quarantine::strike(uint64_t fingerprint, uint32_t parts, steady_time now)
{
    const auto it = m_records.find(fingerprint);
    const uint32_t earlier =
        it != m_records.end() && isAlive(it->second, now) ? it->second.strikes : 0;
    put(fingerprint, {earlier + parts, now}, now);
}

void crash_quarantine::put(uint64_t fingerprint, const record &record, steady_time now)
{
    if (m_records.size() >= m_options.maxEntries && !m_records.contains(fingerprint)) {
        std::erase_if(m_records, [&](const auto &item) { return !isAlive(item.second, now); });
        if (m_records.size() >= m_options.maxEntries) {
            // The entry that is the least evidence makes room.
            const auto weakest = std::min_element(
                m_records.begin(), m_records.end(), [](const auto &left, const auto &right) {
                    return std::pair(left.second.strikes, left.second.lastStrike)
                        < std::pair(right.second.strikes, right.second.lastStrike);
                });
            m_records.erase(weakest);
        }
    }
    m_records[fingerprint] = record;
}

std::vector<crash_quarantine::entry> crash_quarantine::entries(size_t limit, steady_time now) const
{
    std::vector<entry> result;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[fingerprint, record] : m_records) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - record.lastStrike);
            if (age < m_options.entryLife - m_options.spreadMargin) {
                result.push_back({fingerprint, record.strikes, std::max(age, milliseconds(0))});
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
            || received.age >= m_options.entryLife - m_options.spreadMargin) {
            continue;
        }
        const auto it = m_records.find(received.fingerprint);
        const uint32_t known =
            it != m_records.end() && isAlive(it->second, now) ? it->second.strikes : 0;
        if (received.strikes > known) {
            // More strikes than this add nothing and could overflow the sum.
            const uint32_t cap = 1000 * strikeParts;
            put(received.fingerprint, {std::min(received.strikes, cap), now - received.age}, now);
        }
    }
}

size_t crash_quarantine::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_records.size();
}

} // namespace persimmonrail
