#pragma once

#include "persimmonrail/http/http_server.h"
#include "persimmonrail/proxy/blocking_slot_queue.h"
#include "persimmonrail/proxy/exchange_codec.h"
#include "persimmonrail/proxy/proxy_types.h"
#include "persimmonrail/requests/fingerprinted_body.h"
#include "persimmonrail/routing/retry_budget.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmonrail {

// The state of the local upstream that decides whether it can take a request.
struct local_upstream_state
{
    upstream_id id;
    std::string service;
    // "ip:port".
    std::string address;
    // Reason for which the upstream takes no requests; None if it takes them.
    proxy_reason rejectReason = proxy_reason::None;
    // The same for requests with a key that the upstream still owns. Such requests are served until
    // the key has moved, as long as the platform lets a draining upstream work.
    proxy_reason keyedRejectReason = proxy_reason::None;
};

// Access to the state of the daemon. All functions must be thread safe and must not block.
struct upstream_dispatcher_hooks
{
    // Returns the current state of the local upstream.
    std::function<local_upstream_state()> local;
    // Returns whether the upstream may serve the key now.
    std::function<key_state(shard_key key)> keyState;
    // Counts a request for the key, for the balancing of key ranges.
    std::function<void(shard_key key)> countKeyRequest;
    // Called when a connection is refused, which means that no process listens at the address.
    std::function<void(const upstream_id &id)> onConnectionRefused;
    // Called when the upstream has responded.
    std::function<void(const upstream_id &id)> onResponse;
    // The same as keyState, but counts nothing.
    std::function<key_state(shard_key key)> peekKeyState = {};
};

// Whether crash_quarantine rejects a request.
enum class quarantine_state {
    Accepted,
    Rejected,
    // Some requests are rejected; whether this one is depends on its body.
    DependsOnBody,
};

// Load of the local upstream, and the limit on the starts while it is cold.
struct local_load
{
    queue_report queue;
    bool isCold = false;
    // The maximum if unknown.
    milliseconds coldRemaining{0};
    // 0 if there is no limit.
    int coldPermittedPerSecond = 0;
    int recentStarts = 0;
};

// What dispatch() would do with a request that arrives now.
struct dispatch_assessment
{
    // Set if the request would be rejected.
    std::optional<proxy_result> rejected;
    // Why the upstream takes no requests.
    proxy_reason rejectReason = proxy_reason::None;
    // State of the key, if the request has one.
    std::optional<key_state> key;
    quarantine_state quarantine = quarantine_state::Accepted;
    slot_queue::expectation expectation;
};

// Dispatches requests to the local upstream. Thread safe; each request runs on the thread of its
// connection.
class upstream_dispatcher
{
public:
    // `quarantine` must outlive the object.
    upstream_dispatcher(exchange_codec codec, upstream_dispatcher_hooks hooks,
                        crash_quarantine &quarantine, const slot_queue_options &queueOptions = {});

    // Waits for a slot, sends the request to the upstream and passes the response on to `sink`.
    // `exchange` supplies the request body and is watched for the requester's disconnection.
    // Rejects the request if it is for another upstream or the upstream can't take it. Sets `times`
    // before the response begins.
    proxy_result dispatch(const proxied_request &request, server_exchange &exchange,
                          response_sink &sink, dispatch_times &times);
    // Returns what dispatch() would do with a request for the local upstream, and changes nothing.
    // `hasBody` tells whether the request has a body.
    dispatch_assessment assess(const proxied_request &request, bool hasBody, steady_time now) const;
    local_load load(steady_time now) const;
    // Returns the rejection of a request that can't be dispatched now, without reading its body;
    // nullopt if it can.
    std::optional<proxy_result> checkTarget(const proxied_request &request) const
    {
        return checkTarget(request, m_hooks.local());
    }
    // Returns the state of the queue for the upstream.
    queue_report queue() const { return m_slotQueue.report(); }
    // Sets the number of requests that the upstream may run at the same time.
    void setSlots(int slots) { m_slotQueue.setSlots(slots); }
    // Changes the limit on the starts at a cold upstream. `change` must not block.
    void changeColdLimit(const std::function<void(cold_rate_limit &limit)> &change, steady_time now)
    {
        m_slotQueue.changeColdLimit(change, now);
    }
    cold_rate_limit coldLimit() const { return m_slotQueue.coldLimit(); }
    // Returns how many requests the limit has delayed so far.
    uint64_t coldDelayedCount() const { return m_slotQueue.delayedCount(); }
    // Return how many returns of rejected callers have been announced so far, and how many are due
    // now.
    uint64_t returnsAnnounced() const { return m_slotQueue.returnsAnnounced(); }
    int returnsDue(steady_time now) const { return m_slotQueue.returnsDue(now); }
    // Limits the requests that are sent again after a reused connection was closed.
    void setResendBudget(const retry_budget_options &options, steady_time now)
    {
        m_resends.setOptions(options, now);
    }
    // Sets the time at which all requests, also those in progress, get a response, because the
    // process ends soon afterwards.
    void stopAt(steady_time end);
    // Returns the state of the upstream that takes requests now.
    local_upstream_state local() const { return m_hooks.local(); }
    // Closes idle connections to an address, since another process may listen there.
    void closeIdleConnections(const std::string &address) { m_pool->closeIdle(address); }

private:
    // Returns the rejection of a request that can't be dispatched now; nullopt if it can.
    std::optional<proxy_result>
    checkTarget(const proxied_request &request, const local_upstream_state &target,
                const std::function<key_state(shard_key)> &keyState) const;
    std::optional<proxy_result> checkTarget(const proxied_request &request,
                                            const local_upstream_state &target) const
    {
        return checkTarget(request, target, m_hooks.keyState);
    }
    // Returns the rejection of a request whose fingerprint is quarantined or whose body can't be
    // read; nullopt if the request may be dispatched.
    static std::optional<proxy_result> checkQuarantine(const proxied_request &request,
                                                       fingerprinted_body &body);
    // Finds out whether the upstream still listens, after a connection to it was lost.
    void checkListening(const local_upstream_state &target);
    // Takes how long work takes at the upstream now, if its response states it.
    void recordWorkFactor(const Poco::Net::HTTPResponse &head);
    // Returns whether a request may be sent to the upstream once more: the upstream still takes it,
    // and the budget allows it.
    bool mayResend(const proxied_request &request, fingerprinted_body &body);
    // Records that a connection to the upstream ended without a response.
    void recordLostConnection();
    // Records that a request is sent once more; returns false if a cold upstream would not tolerate
    // it.
    bool tryResendToCold();
    // Sends a request that has a slot. `body` supplies the body of `exchange`.
    proxy_result sendToUpstream(const proxied_request &request, const local_upstream_state &target,
                                server_exchange &exchange, fingerprinted_body &body,
                                response_sink &sink);

    const exchange_codec m_codec;
    const upstream_dispatcher_hooks m_hooks;
    crash_quarantine &m_quarantine;
    // As set by stopAt().
    std::atomic<steady_time> m_end{steady_time::max()};
    blocking_slot_queue m_slotQueue;
    std::shared_ptr<connection_pool> m_pool;
    http_client m_client;
    // Limits the requests that are sent again because a connection was closed.
    retry_budget m_resends;
    // Whether a thread runs checkListening(). A crash ends many connections at once.
    std::atomic<bool> m_isCheckingListening{false};
};

} // namespace persimmonrail
