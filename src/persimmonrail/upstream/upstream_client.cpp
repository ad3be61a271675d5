#include "persimmonrail/upstream/upstream_client.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/base/json_text.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Below the number of connections that upstreams accept, which is at least 90.
constexpr size_t maxIdleConnections = 64;

// Fields of the upstream's responses that this client or a caller reads.
const guarded_fields &responseFields()
{
    static const guarded_fields fields{{}, {}, "Persimmonrail-", true};
    return fields;
}

// Returns whether the response states that the upstream did not run the request.
bool isRejection(const Poco::Net::HTTPResponse &head)
{
    return head.getStatus() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE
        && head.has(refusedHeader);
}

// Returns the field "load" of a JSON object, or nullopt if the text has no such number.
std::optional<double> parseLoad(const std::string &text)
{
    try {
        return parseStrictJsonObject(text)->getValue<double>("load");
    } catch (const Poco::Exception &) {
        // An unreadable load is treated as absent, because the load is only a hint.
    }
    return std::nullopt;
}

} // namespace

// Registers a request as running for the lifetime of the sink, records the time of its latest
// progress and forwards the response to the next sink.
class upstream_client::progress_sink : public response_sink
{
public:
    progress_sink(upstream_client &upstreamClient, response_sink &next, steady_time now)
        : m_upstreamClient(upstreamClient)
        , m_next(next)
    {
        const std::lock_guard lock(m_upstreamClient.m_mutex);
        m_id = m_upstreamClient.m_nextRunningId++;
        m_upstreamClient.m_runningRequests[m_id] = {now, now};
    }
    progress_sink(const progress_sink &) = delete;
    progress_sink &operator=(const progress_sink &) = delete;
    ~progress_sink() override
    {
        const std::lock_guard lock(m_upstreamClient.m_mutex);
        m_upstreamClient.m_runningRequests.erase(m_id);
    }

    bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
               std::string_view first, bool isComplete) override
    {
        recordProgress();
        return m_next.begin(head, framing, first, isComplete);
    }
    bool write(std::string_view piece) override
    {
        recordProgress();
        return m_next.write(piece);
    }
    bool finish() override { return m_next.finish(); }

private:
    void recordProgress()
    {
        const steady_time now = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_upstreamClient.m_mutex);
        m_upstreamClient.m_runningRequests[m_id].lastProgressAt = now;
    }

    upstream_client &m_upstreamClient;
    response_sink &m_next;
    uint64_t m_id = 0;
};

std::string_view toString(upstream_state state)
{
    switch (state) {
    case upstream_state::Down:
        return "down";
    case upstream_state::Up:
        return "up";
    case upstream_state::Draining:
        return "draining";
    }
    return "down";
}

upstream_client::upstream_client(const upstream_client_options &options,
                                 upstream_callbacks callbacks)
    : m_options(options)
    , m_callbacks(std::move(callbacks))
    , m_client(std::make_shared<connection_pool>(connection_pool_options{maxIdleConnections}))
{ }

upstream_state upstream_client::stateAt(steady_time now) const
{
    if (!m_announcement || now >= m_announcementExpiry) {
        return upstream_state::Down;
    }
    return m_announcement->draining ? upstream_state::Draining : upstream_state::Up;
}

absl::Status upstream_client::announce(const upstream_announcement &announcement, steady_time now)
{
    bool restarted = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_announcement && now < m_announcementExpiry
            && (m_announcement->service != announcement.service
                || m_announcement->instance != announcement.instance)) {
            return absl::FailedPreconditionError("this daemon already serves instance "
                                                 + m_announcement->instance + " of service "
                                                 + m_announcement->service);
        }
        restarted = m_announcement && m_announcement->bootId != announcement.bootId;
        if (announcement.draining && (!m_announcement || !m_announcement->draining || restarted)) {
            m_drainingSince = now;
        }
        m_announcement = announcement;
        m_announcementExpiry = now + m_options.announcementValidity;
        if (restarted) {
            m_healthHint.reset();
            m_loadHint.reset();
        }
    }
    if (restarted && m_callbacks.onRestarted) {
        m_callbacks.onRestarted(announcement);
    }
    reportStateChange(now);
    return absl::OkStatus();
}

void upstream_client::expire(steady_time now)
{
    reportStateChange(now);
}

void upstream_client::reportStateChange(steady_time now)
{
    upstream_announcement announcement;
    upstream_state state = upstream_state::Down;
    {
        const std::lock_guard lock(m_mutex);
        state = stateAt(now);
        if (state == m_reportedState) {
            return;
        }
        m_reportedState = state;
        announcement = *m_announcement;
    }
    if (m_callbacks.onStateChanged) {
        m_callbacks.onStateChanged(state, announcement);
    }
}

upstream_status upstream_client::status(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    upstream_status result;
    result.state = stateAt(now);
    result.announcement = m_announcement;
    result.inFlight = static_cast<int>(m_runningRequests.size());
    if (result.state == upstream_state::Draining) {
        result.timeSinceDraining = std::chrono::duration_cast<milliseconds>(now - m_drainingSince);
    }
    result.isRefusingConnections = m_isRefusingConnections;
    result.healthHint = m_healthHint;
    result.loadHint = m_loadHint;
    if (!m_runningRequests.empty()) {
        steady_time latestProgress = m_lastResponseAt;
        steady_time oldestStart = steady_time::max();
        for (const auto &[id, running] : m_runningRequests) {
            latestProgress = std::max(latestProgress, running.lastProgressAt);
            oldestStart = std::min(oldestStart, running.startedAt);
        }
        const steady_time since = std::max(latestProgress, oldestStart);
        result.timeSinceProgress =
            std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - since));
    }
    return result;
}

bool upstream_client::isUp(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return stateAt(now) == upstream_state::Up;
}

std::optional<upstream_announcement> upstream_client::validAnnouncement(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return stateAt(now) == upstream_state::Down ? std::nullopt : m_announcement;
}

std::optional<std::string> upstream_client::validAddress(steady_time now) const
{
    const auto announcement = validAnnouncement(now);
    return announcement ? std::optional(announcement->address) : std::nullopt;
}

bool upstream_client::isRejectedWhileDraining(const dispatch_request &request,
                                              steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return stateAt(now) == upstream_state::Draining
        && (request.partition.empty() || now - m_drainingSince >= m_options.drainGracePeriod);
}

absl::Status upstream_client::pushGrants(const std::vector<upstream_grant> &grants,
                                         milliseconds validFor, steady_time now)
{
    const auto address = validAddress(now);
    if (!address) {
        return absl::UnavailableError("no announcement of the upstream is valid");
    }
    const auto response =
        simpleRequest(m_client, *address, "PUT", "/v1/grants",
                      encodeGrants(grants, validFor.count()), now + m_options.controlTimeout);
    if (!response.ok()) {
        return response.status();
    }
    return response->status / 100 == 2
        ? absl::OkStatus()
        : absl::FailedPreconditionError(
            absl::StrCat("the upstream responded with status ", response->status));
}

void upstream_client::probe(steady_time now)
{
    const auto address = validAddress(now);
    if (!address) {
        return;
    }
    const steady_time deadline = now + m_options.controlTimeout;
    const auto health = simpleRequest(m_client, *address, "GET", "/v1/health", "", deadline);
    const auto load = simpleRequest(m_client, *address, "GET", "/v1/load", "", deadline);
    const std::lock_guard lock(m_mutex);
    m_healthHint = health.ok() && health->status == 200;
    m_loadHint = load.ok() && load->status == 200 ? parseLoad(load->body) : std::nullopt;
}

void upstream_client::cancel(const std::string &requestId, steady_time now)
{
    if (const auto address = validAddress(now)) {
        // The result does not matter, because the connection of the request is already closed.
        const auto ignored =
            simpleRequest(m_client, *address, "DELETE", "/v1/requests/" + requestId, "",
                          now + m_options.controlTimeout);
    }
}

bool upstream_client::respondsOnNewConnection(const std::string &address) const
{
    http_client client(std::make_shared<connection_pool>());
    return simpleRequest(client, address, "GET", "/v1/health", "",
                         std::chrono::steady_clock::now() + m_options.controlTimeout)
        .ok();
}

dispatch_result upstream_client::dispatch(const dispatch_request &request, response_sink &sink,
                                          steady_time now)
{
    dispatch_result result;
    const auto announcement = validAnnouncement(now);
    if (!announcement) {
        result.reason = "upstream-down";
        return result;
    }
    if (isRejectedWhileDraining(request, now)) {
        result.reason = "draining";
        return result;
    }
    client_request exchange;
    exchange.address = announcement->address;
    exchange.message = request.message;
    exchange.message.set(requestIdHeader, request.requestId);
    const auto remaining = std::chrono::duration_cast<milliseconds>(request.deadline - now);
    exchange.message.set(deadlineHeader, absl::StrCat(std::max<int64_t>(remaining.count(), 0)));
    // Removes the values that the caller or another daemon sent, so that the upstream receives only
    // those set below.
    for (const char *name : {termHeader, partitionHeader, keyHashHeader, rankHeader}) {
        exchange.message.erase(name);
    }
    if (!request.partition.empty()) {
        exchange.message.set(partitionHeader, request.partition);
        exchange.message.set(termHeader, absl::StrCat(request.term));
    }
    if (request.keyHash) {
        exchange.message.set(keyHashHeader, hashToString(*request.keyHash));
    }
    exchange.body = request.body;
    exchange.repeatable = request.repeatable;
    exchange.requestId = request.requestId;
    exchange.deadline = request.deadline;
    if (request.leaseEnd) {
        exchange.sendDeadline = [this, &request] {
            return request.leaseEnd() - m_options.dispatchMargin;
        };
        if (!announcement->checksGrants) {
            exchange.abandonTime = request.leaseEnd;
        }
    }
    exchange.caller = request.caller;
    if (request.repeatable) {
        exchange.progressTimeout = std::chrono::duration_cast<milliseconds>(
            std::chrono::duration<double>(remaining) * m_options.progressTimeoutFraction);
    }
    exchange.probe = [this, &announcement] {
        return respondsOnNewConnection(announcement->address);
    };
    exchange.responseFields = &responseFields();
    // An upstream that does not return the request id can't be told from one that responds late.
    exchange.matchesRequest = [&request](const Poco::Net::HTTPResponse &head) {
        return head.get(requestIdHeader, request.requestId) == request.requestId;
    };
    exchange.acceptsResponse = [](const Poco::Net::HTTPResponse &head) {
        return !isRejection(head);
    };

    progress_sink progress(*this, sink, now);
    return finishDispatch(m_client.exchange(exchange, progress), request);
}

dispatch_result upstream_client::finishDispatch(const exchange_result &exchange,
                                                const dispatch_request &request)
{
    dispatch_result result = toDeliveryResult(exchange, "upstream-refused-connection");
    if (exchange.state == exchange_state::Declined) {
        result.outcome = request_outcome::NotRun;
        result.reason = exchange.head.get(refusedHeader, "shed");
    } else if (exchange.state == exchange_state::NotSent && exchange.leaseEnding) {
        result.reason = "lease-ending";
    }
    {
        const std::lock_guard lock(m_mutex);
        if (result.reason == "upstream-refused-connection") {
            m_isRefusingConnections = true;
        } else if (exchange.hasSentBytes) {
            m_isRefusingConnections = false;
        }
        if (exchange.state == exchange_state::Complete
            || exchange.state == exchange_state::Declined) {
            m_lastResponseAt = std::chrono::steady_clock::now();
        }
    }
    // The upstream may still be running the request, but its response can no longer be used.
    if (result.outcome == request_outcome::Unknown) {
        cancel(request.requestId, std::chrono::steady_clock::now());
    }
    return result;
}

} // namespace persimmonrail
