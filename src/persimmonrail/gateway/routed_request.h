#pragma once

#include "persimmonrail/gateway/attempt_result.h"
#include "persimmonrail/gateway/request_router.h"
#include "persimmonrail/gateway/resolved_request.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// Routes one request of a caller or of another daemon to an upstream. Not thread safe; used by the
// thread of the request's connection.
class routed_request
{
public:
    routed_request(request_router &router, server_exchange &exchange);

    // Serves a request of a caller: finds its operation and key in the service document, runs it on
    // the local upstream or forwards it, and responds.
    void serveCaller();
    // Serves a request forwarded by another daemon: runs it on the local upstream, or responds with
    // an error. Never forwards the request again.
    void servePeer();

private:
    // Steps of the ingress daemon, which is the one that the caller is connected to.
    // resolveOperation() and resolveKey() return a result if the request is rejected, nullopt
    // otherwise.
    std::optional<attempt_result> resolveOperation();
    std::optional<attempt_result> resolveKey();
    // Returns whether the path belongs to this operation in each reading (path_reading.h).
    bool hasOneOperation(const operation_rule &operation) const;
    // Reads the header Persimmonrail-Subsidiary, cut to a maximum length.
    void readSubsidiary();
    // Attempts a request that has a key hash in rounds: first under a lease of this daemon, then on
    // the candidates. Returns when no retry is possible, the deadline leaves no time for another
    // round, or the caller has disconnected.
    attempt_result routeByHash();
    // Forwards the request to each candidate in turn. A lease holder named by one of them is tried
    // next.
    attempt_result tryCandidates();
    // Attempts a request that any instance of the service may run, on up to maxInstances of them.
    attempt_result routeToAnyInstance();

    // Makes an attempt on the local upstream. `ticket` is null for a request that any instance may
    // run.
    attempt_result runLocally(const lease_ticket *ticket);
    // Forwards the request to the peer port of another daemon.
    attempt_result forwardTo(const member_record &member);
    // Records an unknown outcome and prepares the next attempt: rewinds the body and, after an
    // unknown outcome, consumes the retry budget. Returns whether the next attempt may be made.
    bool prepareRetry(const attempt_result &result);
    // Rewinds the body for another attempt. Returns false if bytes of the body are no longer
    // available.
    bool rewindBody();
    // Writes the result of an attempt to the decision log. `ticket` may be null.
    void logAttempt(std::string_view instance, const lease_ticket *ticket,
                    const attempt_result &result);
    // Updates the metrics for the whole request and responds, unless the response has already
    // started.
    void recordAndRespond(attempt_result result);
    // Sends an error response, unless a response has started or the caller has disconnected.
    void respondUnlessStarted(const attempt_result &result);

    request_router &m_router;
    server_exchange &m_exchange;
    const steady_time m_startedAt;
    resolved_request m_request;
    std::shared_ptr<const fleet_view> m_view;
    // Null if the service is unknown.
    std::shared_ptr<const service_document> m_document;
    // Name of the lease holder according to the last peer tried; empty if it named none.
    std::string m_holderHint;
    // Whether an attempt ended with an unknown outcome. The request may then have run, whatever the
    // results of later attempts are.
    bool m_mayHaveRun = false;
    // Reason of the last attempt with an unknown outcome.
    std::string m_unknownReason;
};

} // namespace persimmonrail
