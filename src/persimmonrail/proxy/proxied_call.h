#pragma once

#include "persimmonrail/proxy/request_proxy.h"

namespace persimmonrail {

// Serves one request of a caller. Used by the thread of its connection.
class proxied_call
{
public:
    // The references must outlive the object.
    proxied_call(request_proxy &proxy, server_exchange &exchange);

    // Routes the request, attempts it, and responds unless the caller has disconnected. Call
    // serve() once.
    void serve();

private:
    // Parses the request, finds its route and fills m_request. A reason other than None ends the
    // request.
    proxy_result resolveRoute();

    // Returns how long ago the caller sent the request first. Under overload, requests that can
    // still meet their objective are preferred to retries that can't. A caller that states no
    // timeout does not tell.
    milliseconds callerRetryAge(const std::optional<milliseconds> &timeout);

    // Finds out whether the caller has sent the request before. Its objective then counts from the
    // first attempt.
    void recognizeReturn(milliseconds statedTimeout);

    // Records that the request has failed, so that its return is recognized. A `retryAfter` of 0
    // means that the caller was told no time.
    void recordFailureOfCaller(milliseconds retryAfter, steady_time now);
    // Reserves memory of this daemon for the request body, which is still unread. A reason other
    // than None ends the request.
    proxy_result admitBody();

    // Reserves what one attempt needs for the request body: a part of the local upstream's budget,
    // or time on the link to another daemon. Returns the rejection of the attempt if there is none.
    std::optional<proxy_result> admitAttempt(bool isLocal, body_reservation &admitted);

    // Attempts the request until it succeeds, can't be retried, or the retry budget is spent.
    proxy_result attemptWithRetries();

    // Keeps the outcome for the metrics, since an earlier attempt may have run. The caller gets no
    // response.
    static proxy_result callerDisconnected(proxy_result result);

    steady_time lastAttemptEnd() const;

    // Returns whether another attempt may follow, and rewinds the request body for it.
    bool canRetry(const proxy_result &result, int sentAttempts);

    // Chooses an upstream and sends the request to it once.
    proxy_result attemptOnce(request_proxy::service_state &service, steady_time now);

    // Sets the fields that tell the demand of this zone and ask for the states of the zones.
    void prepareZoneFields(const request_proxy::service_state &service, steady_time now);

    // Returns the length of the request body, 0 if unknown, and the mean one of the responses.
    double expectedBytes(const request_proxy::service_state &service) const;

    size_t requestBytes() const;

    // Returns what the transfer time of the body depends on; nothing to transfer if it does not
    // count.
    body_transfer bodyTransfer() const;

    // Learns from an attempt at a request without a key, and counts where it went.
    void recordZones(request_proxy::service_state &service, const upstream_member &member,
                     const proxy_result &result, size_t responseBytes);

    void logShareChange(request_proxy::service_state &service);

    // Measures the link to the zone of the upstream by an attempt that was forwarded.
    // `respondedAt` is when the response began; nullopt if none did.
    void recordLink(const upstream_member &member, const proxy_result &result, steady_time sentAt,
                    std::optional<steady_time> respondedAt);

    void logLinkChanges();

    // Returns what an attempt says about its upstream. A key has one owner, so its requests are
    // kept away from the owner only if no connection to the host of the owner can be established.
    upstream_picker::result pickerResult(const proxy_result &attempted) const;

    void recordLoad(overload_throttle &throttle,
                    const overload_throttle::request_class &requestClass,
                    const proxy_result &result) const;

    // Returns the owner of the key and counts a request on it. Returns null if the owner is unknown
    // or does not serve the key yet.
    const upstream_member *findOwner(const fleet_directory &directory,
                                     request_proxy::service_state &service) const;

    // Returns an upstream that is not draining and has not been tried; null if there is none.
    // Prefers upstreams whose daemons have responded recently.
    const upstream_member *pickUpstream(const fleet_directory &directory,
                                        request_proxy::service_state &service,
                                        steady_time now) const;

    void logAttempt(const proxy_result &result, std::chrono::nanoseconds took, uint64_t revision);

    // Counts a request for a key that was not served within its objective, by cause.
    void recordLoss(const proxy_result &result, steady_time now);

    // Records the metrics of the request, and responds and logs if it failed.
    void finish(const proxy_result &result);

    void respondWithFailure(const proxy_result &result);

    void logFailure(const proxy_result &result, steady_time now);

    request_proxy &m_proxy;
    server_exchange &m_exchange;
    const steady_time m_startedAt;
    std::shared_ptr<const route_table> m_table;
    const route *m_route = nullptr;
    proxied_request m_request;
    std::vector<upstream_id> m_tried;
    // When the last attempt began, and why the one before failed.
    steady_time m_lastAttemptAt = m_startedAt;
    loss_cause m_earlierCause = loss_cause::Other;
    // Memory of this daemon for the request body.
    body_reservation m_body;
    // Attempts that the budgets of this daemon rejected.
    int m_bodyRejections = 0;
    // The last rejection by a budget of any daemon.
    std::optional<proxy_result> m_bodyRejection;
    // Whether the link can't carry the body in time, so that only the local upstream is a
    // candidate.
    bool m_isLinkFull = false;
    // Attempts that other daemons rejected because their upstream is overloaded.
    int m_overloadRejections = 0;
    bool m_hasUnknownOutcome = false;
    bool m_isServiceEvacuated = false;
    bool m_isRetryBudgetSpent = false;
    // The request as its caller has sent it, if the caller states how long it waits, and the
    // arrival of the caller's first attempt.
    std::optional<caller_returns::request> m_asSent;
    steady_time m_firstArrivedAt = m_startedAt;
    // Whether the request's zone is chosen by the share that leaves the zone.
    bool m_usesZoneShare = false;
};

} // namespace persimmonrail
