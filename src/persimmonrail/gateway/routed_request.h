#pragma once

#include "persimmonrail/gateway/caller_sink.h"
#include "persimmonrail/gateway/request_router.h"
#include "persimmonrail/gateway/request_target.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// What one attempt, or the whole request, came to.
struct attempt_result
{
    request_outcome outcome = request_outcome::NotRun;
    std::string reason;
    // Status of an answer that persimmonrail itself gives; 0 derives it from the outcome.
    int status = 0;
    milliseconds retryAfter{0};
    // The request may run elsewhere, or here a little later.
    bool tryNext = false;
    bool responseStarted = false;
    bool callerDisconnected = false;
    std::string holder;
};

// One request on its way through this daemon. Used by the thread of its connection.
class routed_request
{
public:
    routed_request(request_router &path, server_exchange &exchange);

    void serveCaller();
    void servePeer();
    void respondWithError(const attempt_result &result);

private:
    // Steps of the ingress daemon; each returns a result if the request ends there.
    std::optional<attempt_result> findOperation();
    std::optional<attempt_result> findKey();
    void setDeadline(milliseconds timeout);
    void takeSubsidiary();
    attempt_result routeByHash();
    attempt_result tryCandidates();
    attempt_result routeToAny();

    attempt_result runLocal(const lease_ticket *ticket);
    attempt_result runAtMostOnce(const lease_ticket &ticket, steady_time now);
    attempt_result admitAndDispatch(const lease_ticket *ticket, const caller_sink::keep_hook &keep);
    attempt_result forwardTo(const member_record &member);
    // Whether another attempt may follow one with this result.
    bool mayContinue(const attempt_result &result);
    // Whether the body can be sent once more; an attempt needs it.
    bool prepareBody();
    void logAttempt(std::string_view instance, const lease_ticket *ticket,
                    const attempt_result &result);
    void finish(attempt_result result);

    request_router &m_router;
    server_exchange &m_exchange;
    const steady_time m_start;
    std::string m_requestId;
    Poco::Net::HTTPRequest m_message;
    std::shared_ptr<const fleet_view> m_view;
    std::shared_ptr<const service_document> m_document;
    request_target m_target;
    std::string m_rank;
    size_t m_rankIndex = 0;
    std::string m_subsidiary;
    bool m_repeatable = false;
    std::string m_idempotencyKey;
    std::optional<uint64_t> m_hash;
    steady_time m_deadline;
    std::string m_holderHint;
    // An attempt ended with an unknown outcome, so the request may have run whatever later attempts
    // come to.
    bool m_mayHaveRun = false;
    std::string m_unknownReason;
};

} // namespace persimmonrail
