#include "persimmonrail/gateway/request_router.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/gateway/error_response.h"
#include "persimmonrail/gateway/routed_request.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <sstream>

namespace persimmonrail {
namespace {

// Increments a counter of requests in flight for the lifetime of the object.
class in_flight_counter
{
public:
    explicit in_flight_counter(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }
    in_flight_counter(const in_flight_counter &) = delete;
    in_flight_counter &operator=(const in_flight_counter &) = delete;
    ~in_flight_counter() { --m_count; }

private:
    std::atomic<int> &m_count;
};

// Default of gateway_hooks::pickInstance.
std::optional<member_record> firstUntriedMember(const fleet_view &view, std::string_view service,
                                                const std::vector<instance_id> &tried, steady_time)
{
    for (const member_record *member : view.membersOf(service)) {
        if (std::find(tried.begin(), tried.end(), member->id) == tried.end()) {
            return *member;
        }
    }
    return std::nullopt;
}

} // namespace

request_router::request_router(request_router_options options, gateway_hooks hooks,
                               upstream_client &upstreamClient, decision_log &log, metrics &metrics)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_upstreamClient(upstreamClient)
    , m_log(log)
    , m_metrics(metrics)
    , m_defaultAdmission(std::make_unique<slot_admission>(
          [&upstreamClient] {
              const auto status = upstreamClient.status(std::chrono::steady_clock::now());
              return status.announcement ? status.announcement->slots : 0;
          },
          m_options.maxQueueLength, m_options.maxQueueTime))
{
    if (!m_hooks.localLease) {
        m_hooks.localLease = [](std::string_view, uint64_t, steady_time) { return nullptr; };
    }
    if (!m_hooks.holderHint) {
        m_hooks.holderHint = [](std::string_view, uint64_t) { return std::string(); };
    }
    if (!m_hooks.candidates) {
        m_hooks.candidates = candidatesFromRecord;
    }
    if (!m_hooks.pickInstance) {
        m_hooks.pickInstance = firstUntriedMember;
    }
    if (!m_hooks.consumeRetryBudget) {
        m_hooks.consumeRetryBudget = [](bool isRetry, steady_time) { return !isRetry; };
    }
    if (!m_hooks.rejectsNewRequests) {
        m_hooks.rejectsNewRequests = [](steady_time) { return false; };
    }
    if (!m_hooks.admit) {
        m_hooks.admit = [this](const admission_request &request, steady_time now) {
            return m_defaultAdmission->admit(request.deadline, now);
        };
    }
    if (!m_hooks.beginAtMostOnce) {
        m_hooks.beginAtMostOnce = [](std::string_view, std::string_view, const lease_ticket &,
                                     steady_time) { return at_most_once_verdict(); };
    }
    if (!m_hooks.endAtMostOnce) {
        m_hooks.endAtMostOnce = [](std::string_view, std::string_view, request_outcome,
                                   const std::shared_ptr<const stored_response> &) {};
    }
}

request_router::~request_router() = default;

void request_router::serveCaller(server_exchange &exchange)
{
    const in_flight_counter counter(m_inFlight);
    routed_request(*this, exchange).serveCaller();
}

void request_router::servePeer(server_exchange &exchange)
{
    const in_flight_counter counter(m_inFlight);
    const std::string id = exchange.request().get(requestIdHeader, "");
    std::multiset<std::string, std::less<>>::iterator entry;
    {
        const std::lock_guard lock(m_mutex);
        entry = m_forwardedRequestIds.insert(id);
    }
    routed_request(*this, exchange).servePeer();
    const std::lock_guard lock(m_mutex);
    m_forwardedRequestIds.erase(entry);
}

bool request_router::isInFlight(const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    return m_forwardedRequestIds.contains(requestId);
}

void request_router::respondToInvalidRequest(server_exchange &exchange, int status,
                                             const std::string &reason)
{
    attempt_result result;
    result.status = status;
    result.reason = reason;
    sendErrorResponse(exchange, {}, result);
}

std::string request_router::explain(std::string_view service, std::string_view key,
                                    steady_time now) const
{
    Poco::JSON::Object response;
    const uint64_t hash = keyHash(key);
    response.set("service", std::string(service));
    response.set("key_hash", hashToString(hash));
    const auto view = m_hooks.view();
    if (view) {
        response.set("revision", view->revision);
        response.set("known_service", view->documents.contains(service));
        if (const versioned_record *const record = view->findRecord(service, hash)) {
            response.set("partition", record->record.partition);
            response.set("recorded_owner", toString(record->record.owner));
            response.set("recorded_term", record->record.term);
        }
        Poco::JSON::Array candidates;
        for (const auto &member : m_hooks.candidates(*view, service, hash, {})) {
            candidates.add(toString(member.id));
        }
        response.set("candidates", candidates);
    }
    if (const auto ticket = m_hooks.localLease(service, hash, now)) {
        response.set("held_by", m_options.instance);
        response.set("term", ticket->term());
    } else if (const std::string holder = m_hooks.holderHint(service, hash); !holder.empty()) {
        response.set("held_by", holder);
    }
    std::ostringstream text;
    response.stringify(text);
    return text.str();
}

} // namespace persimmonrail
