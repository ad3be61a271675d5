#include "persimmonrail/ownership/serving_table.h"

#include "persimmonrail/ownership/placement_record.h"

#include <utility>

namespace persimmonrail {

serving_table::ticket::ticket(serving_lease lease, std::shared_ptr<std::atomic<size_t>> inFlight)
    : m_lease(std::move(lease))
    , m_inFlight(std::move(inFlight))
{
    ++*m_inFlight;
}

serving_table::ticket &serving_table::ticket::operator=(ticket &&other) noexcept
{
    if (this != &other) {
        release();
        m_lease = std::move(other.m_lease);
        m_inFlight = std::move(other.m_inFlight);
    }
    return *this;
}

serving_table::ticket::~ticket()
{
    release();
}

void serving_table::ticket::release()
{
    if (m_inFlight) {
        --*m_inFlight;
        m_inFlight.reset();
    }
}

serving_table::serving_table(lease_timing timing)
    : m_timing(timing)
{ }

std::optional<serving_lease> serving_table::find(std::string_view service, uint64_t hash,
                                                 steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto *found = findEntry(service, hash, now);
    if (found == nullptr) {
        return std::nullopt;
    }
    return serving_lease{found->first, found->second.term, found->second.leaseEnd};
}

std::optional<serving_table::ticket> serving_table::begin(std::string_view service, uint64_t hash,
                                                          steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto *found = findEntry(service, hash, now);
    if (found == nullptr) {
        return std::nullopt;
    }
    return ticket({found->first, found->second.term, found->second.leaseEnd},
                  found->second.inFlight);
}

void serving_table::publish(const std::string &partition, hash_range range, uint64_t term,
                            steady_time leaseEnd, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_entries[partition];
    if (entry.term != term) {
        entry.servingSince = now;
    }
    entry.range = range;
    entry.term = term;
    entry.leaseEnd = leaseEnd;
    entry.stopped = false;
}

void serving_table::renew(std::string_view partition, uint64_t term, steady_time leaseEnd)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(partition);
    if (it != m_entries.end() && it->second.term == term) {
        it->second.leaseEnd = leaseEnd;
    }
}

std::optional<steady_time> serving_table::leaseEnd(std::string_view partition, uint64_t term) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(partition);
    return it == m_entries.end() || it->second.term != term ? std::nullopt
                                                            : std::optional(it->second.leaseEnd);
}

std::optional<steady_time> serving_table::servingSince(std::string_view partition,
                                                       uint64_t term) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(partition);
    if (it == m_entries.end() || it->second.term != term) {
        return std::nullopt;
    }
    return it->second.servingSince;
}

void serving_table::stop(const std::string &partition)
{
    const std::lock_guard lock(m_mutex);
    if (const auto it = m_entries.find(partition); it != m_entries.end()) {
        it->second.stopped = true;
    }
}

size_t serving_table::inFlight(const std::string &partition) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(partition);
    return it == m_entries.end() ? 0 : it->second.inFlight->load();
}

const serving_table::entry_map::value_type *
serving_table::findEntry(std::string_view service, uint64_t hash, steady_time now) const
{
    // A linear scan is enough, because an instance serves only a few partitions.
    const entry_map::value_type *smallest = nullptr;
    for (auto it = m_entries.lower_bound(service); it != m_entries.end(); ++it) {
        if (!it->first.starts_with(service)) {
            break;
        }
        if (serviceOfPartition(it->first) != service || !it->second.range.contains(hash)) {
            continue;
        }
        const auto width = [](const hash_range &range) { return range.last - range.first; };
        if (smallest == nullptr || width(it->second.range) < width(smallest->second.range)) {
            smallest = &*it;
        }
    }
    if (smallest == nullptr || smallest->second.stopped
        || smallest->second.leaseEnd - m_timing.dispatchMargin <= now) {
        return nullptr;
    }
    return smallest;
}

} // namespace persimmonrail
