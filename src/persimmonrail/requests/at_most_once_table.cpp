#include "persimmonrail/requests/at_most_once_table.h"

#include <cstring>

namespace persimmonrail {
namespace {

at_most_once_verdict refuse(request_outcome outcome, std::string_view reason)
{
    at_most_once_verdict verdict;
    verdict.what = at_most_once_verdict::action::Refuse;
    verdict.outcome = outcome;
    verdict.reason = reason;
    return verdict;
}

size_t sizeOf(const stored_response &response)
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
    expire(now);
    entry_id id{std::string(service), key};
    if (const auto known = m_entries.find(id); known != m_entries.end()) {
        return verdictOf(known->second);
    }
    const wall_time issued = key.issuedAt();
    if (issued > now + m_options.clockSkew) {
        return refuse(request_outcome::Unknown, "idempotency-key-from-future");
    }
    if (issued < now - m_options.retention) {
        return refuse(request_outcome::Unknown, "idempotency-key-expired");
    }
    // An earlier owner may have run it. A caller's clock may be ahead, so a key issued shortly
    // after the start of the tenure, by its own time, may in fact be older.
    if (issued < tenureStart + m_options.clockSkew) {
        return refuse(request_outcome::Unknown, "idempotency-key-before-tenure");
    }
    if (m_entries.size() >= m_options.maxEntries) {
        return refuse(request_outcome::NotRun, "idempotency-table-full");
    }
    m_byIssue.emplace(issued, id);
    m_entries.emplace(std::move(id), entry());
    return {};
}

at_most_once_verdict at_most_once_table::verdictOf(const entry &known)
{
    if (known.running) {
        return refuse(request_outcome::Unknown, "duplicate-in-flight");
    }
    if (known.outcome == request_outcome::Unknown) {
        return refuse(request_outcome::Unknown, "earlier-attempt-unknown");
    }
    if (known.response == nullptr) {
        return refuse(request_outcome::Unknown, "answer-not-kept");
    }
    at_most_once_verdict verdict;
    verdict.what = at_most_once_verdict::action::Replay;
    verdict.outcome = request_outcome::Run;
    verdict.response = known.response;
    return verdict;
}

void at_most_once_table::end(std::string_view service, const idempotency_key &key,
                             request_outcome outcome,
                             std::shared_ptr<const stored_response> response)
{
    const std::lock_guard lock(m_mutex);
    const entry_id id{std::string(service), key};
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        return;
    }
    if (outcome == request_outcome::NotRun) {
        m_entries.erase(known);
        const auto [first, last] = m_byIssue.equal_range(key.issuedAt());
        for (auto it = first; it != last; ++it) {
            if (it->second == id) {
                m_byIssue.erase(it);
                break;
            }
        }
        return;
    }
    known->second.running = false;
    known->second.outcome = outcome;
    if (outcome == request_outcome::Run && response != nullptr) {
        storeResponse(id, known->second, std::move(response));
    }
}

void at_most_once_table::storeResponse(const entry_id &id, entry &known,
                                       std::shared_ptr<const stored_response> response)
{
    m_responseBytes += sizeOf(*response);
    known.response = std::move(response);
    m_withResponse.push_back(id);
    while (m_responseBytes > m_options.maxResponseBytes) {
        const auto oldest = m_entries.find(m_withResponse.front());
        m_withResponse.pop_front();
        if (oldest != m_entries.end() && oldest->second.response != nullptr) {
            m_responseBytes -= sizeOf(*oldest->second.response);
            oldest->second.response = nullptr;
        }
    }
}

// Keeps running requests; their keys are refused as expired by then, except to end().
void at_most_once_table::expire(wall_time now)
{
    const wall_time oldestValid = now - m_options.retention - m_options.clockSkew;
    while (!m_byIssue.empty() && m_byIssue.begin()->first < oldestValid) {
        const auto known = m_entries.find(m_byIssue.begin()->second);
        if (known != m_entries.end()) {
            if (known->second.response != nullptr) {
                m_responseBytes -= sizeOf(*known->second.response);
                m_withResponse.remove(known->first);
            }
            m_entries.erase(known);
        }
        m_byIssue.erase(m_byIssue.begin());
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
