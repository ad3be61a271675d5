#include "persimmonrail/proxy/overload_throttle.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// Decayed records are erased when there are more records than this.
constexpr size_t maxRecords = 1024;
// Records whose decayed counts sum to less than this are erased.
constexpr double minRecordWeight = 0.01;

} // namespace

overload_throttle::overload_throttle(overload_throttle_options options)
    : m_options(options)
{ }

void overload_throttle::decay(record &entry, steady_time now) const
{
    const double age = std::chrono::duration<double>(now - entry.updatedAt).count();
    const double decayTime = std::chrono::duration<double>(m_options.decayTime).count();
    const double weight = std::exp(-std::max(age, 0.0) / decayTime);
    entry.accepted *= weight;
    entry.rejected *= weight;
    entry.rejectedLocally *= weight;
    entry.updatedAt = now;
}

overload_throttle::record &overload_throttle::findOrCreateRecord(const request_class &requestClass,
                                                                 steady_time now)
{
    if (m_records.size() > maxRecords) {
        std::erase_if(m_records, [&](const auto &item) {
            record entry = item.second;
            decay(entry, now);
            return entry.rejected + entry.rejectedLocally < minRecordWeight;
        });
    }
    record &entry = m_records.try_emplace(requestClass).first->second;
    decay(entry, now);
    return entry;
}

double overload_throttle::rejectionChance(const record &entry) const
{
    if (entry.rejected + entry.rejectedLocally < m_options.minRejections) {
        return 0;
    }
    const double demand = entry.accepted + entry.rejected + entry.rejectedLocally;
    return (demand - m_options.sentPerAccepted * entry.accepted) / (demand + 1);
}

overload_throttle::expectation overload_throttle::expect(const request_class &requestClass,
                                                         steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(requestClass);
    if (found == m_records.end()) {
        return {};
    }
    record entry = found->second;
    decay(entry, now);
    return {std::clamp(rejectionChance(entry), 0.0, 1.0), entry.retryAfter};
}

std::optional<milliseconds> overload_throttle::rejectLocally(const request_class &requestClass,
                                                             double randomFraction, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(requestClass);
    if (found == m_records.end()) {
        return std::nullopt;
    }
    record &entry = found->second;
    decay(entry, now);
    if (randomFraction >= rejectionChance(entry)) {
        return std::nullopt;
    }
    ++entry.rejectedLocally;
    return entry.retryAfter;
}

void overload_throttle::recordAccepted(const request_class &requestClass, bool hasCapacity,
                                       steady_time now)
{
    const std::lock_guard lock(m_mutex);
    if (hasCapacity) {
        request_class sameClass = requestClass;
        sameClass.isCallerRetry = !requestClass.isCallerRetry;
        m_records.erase(requestClass);
        m_records.erase(sameClass);
        return;
    }
    const auto found = m_records.find(requestClass);
    if (found == m_records.end()) {
        return;
    }
    decay(found->second, now);
    ++found->second.accepted;
}

void overload_throttle::recordRejected(const request_class &requestClass, milliseconds retryAfter,
                                       steady_time now)
{
    const std::lock_guard lock(m_mutex);
    record &entry = findOrCreateRecord(requestClass, now);
    ++entry.rejected;
    entry.retryAfter = retryAfter;
}

} // namespace persimmonrail
