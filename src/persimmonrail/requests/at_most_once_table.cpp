#include "persimmonrail/requests/at_most_once_table.h"

#include <cstring>

namespace persimmonrail {
namespace {

// Returns a verdict that rejects a request.
at_most_once_verdict makeRejection(request_outcome outcome, std::string_view reason)
{
    at_most_once_verdict verdict;
    verdict.decision = at_most_once_verdict::action::Reject;
    verdict.outcome = outcome;
    verdict.reason = reason;
    return verdict;
}

// Returns the size in bytes that counts towards maxResponseBytes.
size_t storedSize(const stored_response &response)
{
    size_t size = sizeof(stored_response) + response.body.size();
    for (const auto &[name, value] : response.fields) {
        size += name.size() + value.size();
    }
    return size;
}

} // namespace

size_t at_most_once_table::entry_hash::operator()(const entry_id &id) const
{
    // The last eight bytes of the key are random.
    size_t randomPart = 0;
    std::memcpy(&randomPart, id.key.bytes.data() + 8, sizeof randomPart);
    return randomPart ^ std::hash<std::string>()(id.service);
}

at_most_once_table::at_most_once_table(at_most_once_options options)
    : m_options(options)
{ }

at_most_once_verdict at_most_once_table::begin(std::string_view service, const idempotency_key &key,
                                               wall_time tenureStart, wall_time now)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    entry_id id{std::string(service), key};
    if (const auto existing = m_entries.find(id); existing != m_entries.end()) {
        return verdictForExisting(existing->second);
    }
    const wall_time issued = key.issuedAt();
    if (issued > now + m_options.clockSkew) {
        return makeRejection(request_outcome::Unknown, "idempotency-key-from-future");
    }
    if (issued < now - m_options.retention) {
        return makeRejection(request_outcome::Unknown, "idempotency-key-expired");
    }
    // An earlier owner may have run the request. The clock of the caller may be ahead by up to the
    // clock skew, so a key with a time of issue shortly after the start of the tenure may have been
    // issued before the tenure.
    if (issued < tenureStart + m_options.clockSkew) {
        return makeRejection(request_outcome::Unknown, "idempotency-key-before-tenure");
    }
    if (m_entries.size() >= m_options.maxEntries) {
        return makeRejection(request_outcome::NotRun, "idempotency-table-full");
    }
    m_idsByIssueTime.emplace(issued, id);
    m_entries.emplace(std::move(id), entry());
    return {};
}

at_most_once_verdict at_most_once_table::verdictForExisting(const entry &existing)
{
    if (existing.isRunning) {
        return makeRejection(request_outcome::Unknown, "duplicate-in-flight");
    }
    if (existing.outcome == request_outcome::Unknown) {
        return makeRejection(request_outcome::Unknown, "earlier-attempt-unknown");
    }
    if (existing.response == nullptr) {
        return makeRejection(request_outcome::Unknown, "answer-not-kept");
    }
    at_most_once_verdict verdict;
    verdict.decision = at_most_once_verdict::action::Replay;
    verdict.outcome = request_outcome::Run;
    verdict.response = existing.response;
    return verdict;
}

void at_most_once_table::end(std::string_view service, const idempotency_key &key,
                             request_outcome outcome,
                             std::shared_ptr<const stored_response> response)
{
    const std::lock_guard lock(m_mutex);
    const entry_id id{std::string(service), key};
    const auto existing = m_entries.find(id);
    if (existing == m_entries.end()) {
        return;
    }
    if (outcome == request_outcome::NotRun) {
        m_entries.erase(existing);
        const auto [first, last] = m_idsByIssueTime.equal_range(key.issuedAt());
        for (auto it = first; it != last; ++it) {
            if (it->second == id) {
                m_idsByIssueTime.erase(it);
                break;
            }
        }
        return;
    }
    existing->second.isRunning = false;
    existing->second.outcome = outcome;
    if (outcome == request_outcome::Run && response != nullptr) {
        storeResponse(id, existing->second, std::move(response));
    }
}

void at_most_once_table::storeResponse(const entry_id &id, entry &existing,
                                       std::shared_ptr<const stored_response> response)
{
    m_responseBytes += storedSize(*response);
    existing.response = std::move(response);
    m_idsWithResponse.push_back(id);
    while (m_responseBytes > m_options.maxResponseBytes) {
        const auto oldest = m_entries.find(m_idsWithResponse.front());
        m_idsWithResponse.pop_front();
        if (oldest != m_entries.end() && oldest->second.response != nullptr) {
            m_responseBytes -= storedSize(*oldest->second.response);
            oldest->second.response = nullptr;
        }
    }
}

// Removes the entries whose keys were issued longer ago than the retention plus the clock skew;
// begin() rejects these keys as expired. The entry of a request that still runs is removed as well,
// and end() then has no effect.
void at_most_once_table::removeExpired(wall_time now)
{
    const wall_time oldestValid = now - m_options.retention - m_options.clockSkew;
    while (!m_idsByIssueTime.empty() && m_idsByIssueTime.begin()->first < oldestValid) {
        const auto existing = m_entries.find(m_idsByIssueTime.begin()->second);
        if (existing != m_entries.end()) {
            if (existing->second.response != nullptr) {
                m_responseBytes -= storedSize(*existing->second.response);
                m_idsWithResponse.remove(existing->first);
            }
            m_entries.erase(existing);
        }
        m_idsByIssueTime.erase(m_idsByIssueTime.begin());
    }
}

size_t at_most_once_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

size_t at_most_once_table::responseBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_responseBytes;
}

} // namespace persimmonrail
