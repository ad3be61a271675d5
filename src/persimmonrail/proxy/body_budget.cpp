#include "persimmonrail/proxy/body_budget.h"

#include <algorithm>
#include <utility>

namespace persimmonrail {
namespace {

// Length for which a body in the chunked framing counts.
constexpr uint64_t assumedChunkedBytes = 64 * 1024;
// Stated lengths are not checked earlier. This bound keeps sums of lengths from overflowing.
constexpr uint64_t maxCountedBytes = uint64_t{1} << 40;
// Bounds the time for one body, so that a very slow link causes no overflow.
constexpr double maxTransmissionSeconds = 3600;

} // namespace

std::string_view toString(body_limit limit)
{
    switch (limit) {
    case body_limit::Daemon:
        return "daemon";
    case body_limit::Upstream:
        return "upstream";
    case body_limit::OutboundLink:
        return "link-out";
    case body_limit::InboundLink:
        return "link-in";
    }
    return "daemon";
}

uint64_t expectedBodyBytes(const body_framing &framing)
{
    return framing.type == body_framing::kind::Chunked ? assumedChunkedBytes : framing.length;
}

body_reservation::body_reservation(body_budget &budget, const body_demand &demand,
                                   steady_time linkEnd)
    : m_budget(&budget)
    , m_demand(demand)
    , m_linkEnd(linkEnd)
{ }

body_reservation::body_reservation(body_reservation &&other) noexcept
    : m_budget(std::exchange(other.m_budget, nullptr))
    , m_demand(other.m_demand)
    , m_linkEnd(other.m_linkEnd)
{ }

body_reservation &body_reservation::operator=(body_reservation &&other) noexcept
{
    if (this != &other) {
        release();
        m_budget = std::exchange(other.m_budget, nullptr);
        m_demand = other.m_demand;
        m_linkEnd = other.m_linkEnd;
    }
    return *this;
}

body_reservation::~body_reservation()
{
    release();
}

void body_reservation::returnLinkTime(uint64_t unsentBytes, steady_time now)
{
    if (m_budget != nullptr && m_demand.link) {
        m_budget->returnLinkTime(*m_demand.link, std::min(unsentBytes, m_demand.bytes), m_linkEnd,
                                 now);
    }
}

void body_reservation::release()
{
    if (m_budget != nullptr) {
        std::exchange(m_budget, nullptr)->release(m_demand);
    }
}

bool body_budget::held_bytes_budget::hasRoomFor(uint64_t bytes) const
{
    return maxBytes == 0 || bodyBytes == 0 || bodyBytes + responseBytes + bytes <= maxBytes;
}

body_budget::body_budget(const body_budget_options &options)
    : m_options(options)
{
    m_daemon.maxBytes = options.daemonBytes;
    m_upstream.maxBytes = options.upstreamBytes;
}

std::optional<body_rejection> body_budget::peekRejection(const body_demand &demand,
                                                         steady_time now) const
{
    if (!m_options.isEnabled || demand.bytes == 0) {
        return std::nullopt;
    }
    body_demand counted = demand;
    counted.bytes = std::min(demand.bytes, maxCountedBytes);
    const std::lock_guard lock(m_mutex);
    return findRejection(counted, now);
}

std::variant<body_reservation, body_rejection> body_budget::admit(const body_demand &demand,
                                                                  steady_time now)
{
    if (!m_options.isEnabled || demand.bytes == 0) {
        return body_reservation();
    }
    body_demand counted = demand;
    counted.bytes = std::min(demand.bytes, maxCountedBytes);
    const std::lock_guard lock(m_mutex);
    if (const auto rejection = findRejection(counted, now)) {
        return *rejection;
    }
    m_daemon.bodyBytes += counted.usesDaemon ? counted.bytes : 0;
    m_upstream.bodyBytes += counted.usesUpstream ? counted.bytes : 0;
    steady_time linkEnd{};
    if (counted.link) {
        linkEnd = now + linkDelay(*counted.link, now) + transmissionTime(counted.bytes);
        m_linkFreeAt[static_cast<size_t>(*counted.link)] = linkEnd;
    }
    return body_reservation(*this, counted, linkEnd);
}

std::optional<body_rejection> body_budget::findRejection(const body_demand &demand,
                                                         steady_time now) const
{
    if (demand.usesDaemon && !m_daemon.hasRoomFor(demand.bytes)) {
        return rejectionBy(body_limit::Daemon, m_daemon, demand.bytes);
    }
    if (demand.usesUpstream && !m_upstream.hasRoomFor(demand.bytes)) {
        return rejectionBy(body_limit::Upstream, m_upstream, demand.bytes);
    }
    return findLinkRejection(demand, now);
}

std::optional<body_rejection> body_budget::findLinkRejection(const body_demand &demand,
                                                             steady_time now) const
{
    if (!demand.link) {
        return std::nullopt;
    }
    const auto delay = linkDelay(*demand.link, now);
    const steady_time expectedEnd =
        now + delay + transmissionTime(demand.bytes) + demand.serviceTime;
    if (delay.count() == 0 || expectedEnd <= demand.objectiveEnd) {
        return std::nullopt;
    }
    // An objective may have ended long ago, but the link is free after `delay`.
    const auto excess =
        std::min<std::chrono::nanoseconds>(expectedEnd - demand.objectiveEnd, delay);
    return body_rejection{*demand.link == link_direction::Outbound ? body_limit::OutboundLink
                                                                   : body_limit::InboundLink,
                          std::chrono::ceil<milliseconds>(excess)};
}

body_rejection body_budget::rejectionBy(body_limit limit, const held_bytes_budget &budget,
                                        uint64_t bytes) const
{
    const uint64_t wanted = budget.bodyBytes + budget.responseBytes + bytes;
    // A body larger than the budget waits for all others.
    const uint64_t excess = std::min(wanted - budget.maxBytes, budget.bodyBytes);
    return {limit, std::chrono::ceil<milliseconds>(transmissionTime(excess))};
}

std::chrono::nanoseconds body_budget::linkDelay(link_direction direction, steady_time now) const
{
    return std::max(m_linkFreeAt[static_cast<size_t>(direction)], now) - now;
}

std::chrono::nanoseconds body_budget::transmissionTime(uint64_t bytes) const
{
    if (m_options.linkBytesPerSecond <= 0) {
        return std::chrono::nanoseconds(0);
    }
    const std::chrono::duration<double> time(std::min(
        static_cast<double>(bytes) / m_options.linkBytesPerSecond, maxTransmissionSeconds));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

void body_budget::addResponseBytes(uint64_t bytes)
{
    if (!m_options.isEnabled) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_daemon.responseBytes += bytes;
}

void body_budget::removeResponseBytes(uint64_t bytes)
{
    if (!m_options.isEnabled) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_daemon.responseBytes -= bytes;
}

void body_budget::release(const body_demand &demand)
{
    const std::lock_guard lock(m_mutex);
    m_daemon.bodyBytes -= demand.usesDaemon ? demand.bytes : 0;
    m_upstream.bodyBytes -= demand.usesUpstream ? demand.bytes : 0;
}

void body_budget::returnLinkTime(link_direction direction, uint64_t bytes, steady_time linkEnd,
                                 steady_time now)
{
    const std::lock_guard lock(m_mutex);
    // Time that has passed already can't be given to later bodies.
    const auto unused = std::min(transmissionTime(bytes), std::max(linkEnd, now) - now);
    m_linkFreeAt[static_cast<size_t>(direction)] -= unused;
}

uint64_t body_budget::usedBytes(body_limit limit, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    switch (limit) {
    case body_limit::Daemon:
        return m_daemon.bodyBytes + m_daemon.responseBytes;
    case body_limit::Upstream:
        return m_upstream.bodyBytes;
    default:
        break;
    }
    const auto delay = linkDelay(limit == body_limit::OutboundLink ? link_direction::Outbound
                                                                   : link_direction::Inbound,
                                 now);
    return static_cast<uint64_t>(std::chrono::duration<double>(delay).count()
                                 * m_options.linkBytesPerSecond);
}

} // namespace persimmonrail
