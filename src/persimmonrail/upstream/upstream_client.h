#pragma once

#include "persimmonrail/base/request_outcome.h"
#include "persimmonrail/http/http_client.h"
#include "persimmonrail/upstream/announcement.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace persimmonrail {

enum class upstream_state { Down, Up, Draining };

std::string_view toString(upstream_state state);

// Snapshot of what is known of the local upstream.
struct upstream_status
{
    upstream_state state = upstream_state::Down;
    // The newest announcement, valid or not; absent before the first one.
    std::optional<upstream_announcement> announcement;
    // Time since the upstream announced that it drains; zero if it does not.
    milliseconds drainingFor{0};
    int inFlight = 0;
    // Time since the last byte of an answer, or since the oldest request was handed over if that is
    // later; zero while nothing is in flight.
    milliseconds withoutProgress{0};
    // Whether the last hand-over failed because the upstream refused the connection.
    bool refusingConnections = false;
    // Results of the last probes; hints only, since upstreams may report them late or wrongly.
    std::optional<bool> healthHint;
    std::optional<double> loadHint;
};

// One request to be handed to the upstream.
struct dispatch_request
{
    Poco::Net::HTTPRequest message{Poco::Net::HTTPMessage::HTTP_1_1};
    body_source *body = nullptr;
    std::string requestId;
    // Empty for services that are not partitioned.
    std::string partition;
    uint64_t term = 0;
    std::optional<uint64_t> keyHash;
    bool repeatable = false;
    steady_time deadline;
    // Returns the present end of the lease; empty without a lease. Nothing is handed over within
    // the hand-over guard (20 ms) before it. An upstream that does not check grants loses its
    // connection, and is asked to cancel the request, when it comes (rule H4).
    std::function<steady_time()> leaseEnd;
    // Connection of the requester, watched so that a disconnect cancels the request.
    http_stream *caller = nullptr;
};

struct dispatch_result
{
    request_outcome outcome = request_outcome::NotRun;
    // Fixed word, such as "refused-connection", "truncated-answer" or "shed".
    std::string reason;
    // Whether the sink received the head of the answer, so that no other answer can be sent.
    bool responseStarted = false;
    // Whether the requester disconnected.
    bool callerDisconnected = false;
    // Status of the upstream's answer, 0 if there is none.
    int status = 0;
    // From the upstream's refusal, zero if it gave none.
    milliseconds retryAfter{0};
};

struct upstream_client_options
{
    // An announcement counts for this time.
    milliseconds announcementValidity{3000};
    // No request is handed over within this time before the end of its lease.
    milliseconds dispatchMargin{20};
    // A draining upstream still gets requests for the partitions it holds during this time, so that
    // they are served until they have moved. Requests of other services are refused at once.
    milliseconds drainGrace{2500};
    milliseconds controlTimeout{500};
    // After this share of the time left, a repeatable request without any progress is given up if
    // the upstream answers on a new connection: open connections can go silent for good. Others
    // wait until their deadline, since giving them up early gains nothing.
    double silentShare = 0.75;
};

struct upstream_callbacks
{
    // Run on the thread that noticed the change, without locks held.
    std::function<void(upstream_state state, const upstream_announcement &announcement)>
        stateChanged;
    // The upstream started anew: requests of the earlier run are lost, and it holds no grants.
    std::function<void(const upstream_announcement &announcement)> restarted;
};

// Guards the upstream beside this daemon: what it announces, what it was granted and every request
// handed to it. Thread safe.
class upstream_client
{
public:
    explicit upstream_client(const upstream_client_options &options,
                             upstream_callbacks callbacks = {});
    upstream_client(const upstream_client &) = delete;
    upstream_client &operator=(const upstream_client &) = delete;

    // Takes an announcement. Errors: FailedPrecondition if it names another service or instance
    // than the valid one in force.
    absl::Status announce(const upstream_announcement &announcement, steady_time now);
    // Ends the validity of an announcement that was not renewed; call at least every 250 ms.
    void expire(steady_time now);
    upstream_status status(steady_time now) const;
    bool isUp(steady_time now) const;

    // Blocks. Errors: Unavailable if there is no valid announcement or the upstream is not reached;
    // Unknown if it may have taken the grants; FailedPrecondition if it answered with an error.
    absl::Status pushGrants(const std::vector<upstream_grant> &grants, milliseconds validFor,
                            steady_time now);
    // Reads /v1/health and /v1/load; the results only show up as hints in status(). Blocks.
    void probe(steady_time now);

    // Hands one request over and streams the answer to the sink. Blocks until the answer is whole,
    // the request has failed or its deadline has passed.
    dispatch_result dispatch(const dispatch_request &request, response_sink &sink, steady_time now);
    // Asks the upstream to stop a request. Best effort; blocks for at most the control timeout.
    void cancel(const std::string &requestId, steady_time now);

private:
    struct running_request
    {
        steady_time startedAt;
        steady_time lastProgress;
    };

    class progress_sink;

    upstream_state stateAt(steady_time now) const;
    void publish(steady_time now);
    std::optional<upstream_announcement> validAnnouncement(steady_time now) const;
    std::optional<std::string> validAddress(steady_time now) const;
    bool refusesWhileDraining(const dispatch_request &request, steady_time now) const;
    dispatch_result evaluate(const exchange_result &exchange, const dispatch_request &request);
    bool respondsOnNewConnection(const std::string &address) const;

    const upstream_client_options m_options;
    const upstream_callbacks m_callbacks;
    http_client m_client;
    mutable std::mutex m_mutex;
    std::optional<upstream_announcement> m_announcement;
    steady_time m_validUntil;
    steady_time m_drainingSince;
    upstream_state m_published = upstream_state::Down;
    bool m_refusingConnections = false;
    steady_time m_lastProgress;
    uint64_t m_nextRunning = 0;
    std::map<uint64_t, running_request> m_running;
    std::optional<bool> m_healthHint;
    std::optional<double> m_loadHint;
};

} // namespace persimmonrail
