#pragma once

#include "persimmonrail/http/delivery_result.h"
#include "persimmonrail/upstream/announcement.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace persimmonrail {

// State of the local upstream according to its latest announcement. An upstream is Down until its
// first announcement and whenever its latest announcement has expired.
enum class upstream_state { Down, Up, Draining };

// Returns "down", "up" or "draining".
std::string_view toString(upstream_state state);

// Snapshot of the state of the local upstream.
struct upstream_status
{
    upstream_state state = upstream_state::Down;
    // The latest announcement, even if it has expired; absent before the first one.
    std::optional<upstream_announcement> announcement;
    // Time since the upstream first announced that it is draining; zero unless `state` is Draining.
    milliseconds timeSinceDraining{0};
    // Number of requests that have been dispatched and have not ended.
    int inFlight = 0;
    // Time since the latest of two events: part of a response arrived, or a request that is still
    // in flight was dispatched. Zero while no request is in flight.
    milliseconds timeSinceProgress{0};
    // Whether the latest dispatch that tried to connect failed because the upstream did not accept
    // the connection.
    bool isRefusingConnections = false;
    // Results of the latest probe() of this incarnation; absent before the first one and, for the
    // load, if the upstream reported none. The values are hints, since an upstream may report
    // outdated or wrong values.
    std::optional<bool> healthHint;
    std::optional<double> loadHint;
};

// A request to be dispatched to the local upstream.
struct dispatch_request
{
    Poco::Net::HTTPRequest message{Poco::Net::HTTPMessage::HTTP_1_1};
    // Null if the request has no body.
    body_source *body = nullptr;
    std::string requestId;
    // Name of the partition that the key belongs to; empty if the service is not partitioned.
    std::string partition;
    // Fencing token of the lease on the partition; ignored if `partition` is empty.
    uint64_t term = 0;
    // Hash of the request's key; absent if the request has no key.
    std::optional<uint64_t> keyHash;
    // Whether the request may be sent to the upstream more than once.
    bool repeatable = false;
    steady_time deadline;
    // Returns the current end of the lease on the partition; empty if no lease is needed. No
    // request is dispatched within upstream_client_options::dispatchMargin (20 ms) before this
    // time. When this time comes, the connection to an upstream that does not check grants is
    // closed and the upstream is asked to cancel the request (rule H4 in docs/design.md).
    std::function<steady_time()> leaseEnd;
    // Connection of the caller, or null. Its disconnection cancels the request.
    http_stream *caller = nullptr;
};

// Result of the dispatch of a request to the local upstream.
using dispatch_result = delivery_result;

struct upstream_client_options
{
    // Time for which an announcement is valid. The upstream sends one every second.
    milliseconds announcementValidity{3000};
    // No request is dispatched within this time before the end of its lease.
    milliseconds dispatchMargin{20};
    // For this time after the start of draining, the upstream still receives requests for the
    // partitions that it owns, so that these requests are served until the partitions have moved.
    // Requests for services that are not partitioned are rejected at once.
    milliseconds drainGracePeriod{2500};
    // Timeout of grants, probes and cancellations.
    milliseconds controlTimeout{500};
    // Fraction of the time left until the deadline after which a repeatable request without
    // progress is abandoned if the upstream responds on a new connection, since an open connection
    // can become permanently unresponsive. Other requests wait until their deadline: abandoning
    // them early gains nothing, since they cannot be sent again.
    double progressTimeoutFraction = 0.75;
};

// Callbacks run on the thread that detected the change, with no locks held. Each may be empty.
struct upstream_callbacks
{
    std::function<void(upstream_state state, const upstream_announcement &announcement)>
        onStateChanged;
    // Called when the upstream has restarted. The requests of its earlier incarnation are lost, and
    // the new incarnation holds no grants.
    std::function<void(const upstream_announcement &announcement)> onRestarted;
};

// Client of the local upstream. Tracks the upstream's announcements, sends grants to it and
// dispatches all requests to it. Thread safe.
class upstream_client
{
public:
    explicit upstream_client(const upstream_client_options &options,
                             upstream_callbacks callbacks = {});
    upstream_client(const upstream_client &) = delete;
    upstream_client &operator=(const upstream_client &) = delete;

    // Records an announcement, which starts or renews its validity. Errors: FailedPrecondition if
    // an announcement of another service or instance is still valid.
    absl::Status announce(const upstream_announcement &announcement, steady_time now);
    // Reports the state Down if the latest announcement has expired. Must be called at least every
    // 250 ms.
    void expire(steady_time now);
    upstream_status status(steady_time now) const;
    // Returns whether the state is Up. A draining upstream is not up.
    bool isUp(steady_time now) const;

    // Sends grants to the upstream. Blocks for at most the control timeout. Errors: Unavailable if
    // no announcement is valid or the upstream cannot be reached; Unknown if the upstream may have
    // received the grants; FailedPrecondition if the upstream responded with an error.
    absl::Status pushGrants(const std::vector<upstream_grant> &grants, milliseconds validFor,
                            steady_time now);
    // Reads /v1/health and /v1/load and stores the results as the hints of status(). Blocks for at
    // most the control timeout.
    void probe(steady_time now);

    // Sends a request to the upstream and streams the response to the sink. Blocks until the
    // response is complete, the request has failed or its deadline has passed. If the outcome is
    // unknown, also cancels the request as cancel() does.
    dispatch_result dispatch(const dispatch_request &request, response_sink &sink, steady_time now);
    // Asks the upstream to stop running a request and ignores failures. Blocks for at most the
    // control timeout.
    void cancel(const std::string &requestId, steady_time now);

private:
    struct running_request
    {
        steady_time startedAt;
        steady_time lastProgressAt;
    };

    class progress_sink;

    // Requires m_mutex to be held.
    upstream_state stateAt(steady_time now) const;
    // Calls onStateChanged if the state differs from the one last reported.
    void reportStateChange(steady_time now);
    // Returns the latest announcement unless the upstream is down.
    std::optional<upstream_announcement> validAnnouncement(steady_time now) const;
    std::optional<std::string> validAddress(steady_time now) const;
    // Returns whether the request must be rejected because the upstream is draining.
    bool isRejectedWhileDraining(const dispatch_request &request, steady_time now) const;
    // Converts the result of the exchange, records what it shows of the upstream and cancels the
    // request if its outcome is unknown.
    dispatch_result finishDispatch(const exchange_result &exchange,
                                   const dispatch_request &request);
    // Returns whether the upstream responds to a health request on a new connection.
    bool respondsOnNewConnection(const std::string &address) const;

    const upstream_client_options m_options;
    const upstream_callbacks m_callbacks;
    http_client m_client;
    // Guards all members below.
    mutable std::mutex m_mutex;
    std::optional<upstream_announcement> m_announcement;
    steady_time m_announcementExpiry;
    steady_time m_drainingSince;
    upstream_state m_reportedState = upstream_state::Down;
    bool m_isRefusingConnections = false;
    // Time of the latest complete response, including rejections.
    steady_time m_lastResponseAt;
    uint64_t m_nextRunningId = 0;
    // Requests in flight, by an id that is unique within this client.
    std::map<uint64_t, running_request> m_runningRequests;
    std::optional<bool> m_healthHint;
    std::optional<double> m_loadHint;
};

} // namespace persimmonrail
