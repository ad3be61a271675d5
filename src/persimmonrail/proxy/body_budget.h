#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/http/http_stream.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>
#include <variant>

namespace persimmonrail {

struct body_budget_options
{
    // If false, every body is admitted and nothing is counted.
    bool isEnabled = false;
    // Bytes that this daemon may have in flight; 0: no limit.
    uint64_t daemonBytes = 0;
    // Bytes of request bodies that may wait or run at the local upstream; 0: no limit.
    uint64_t upstreamBytes = 0;
    // Bandwidth of this host's link in each direction; 0: unknown, no limit.
    double linkBytesPerSecond = 0;
};

enum class link_direction { Outbound, Inbound };

enum class body_limit { Daemon, Upstream, OutboundLink, InboundLink };

// Returns the name of the budget in metrics.
std::string_view toString(body_limit limit);

// Returns the length that the request head states; an assumed one if the body is chunked.
uint64_t expectedBodyBytes(const body_framing &framing);

// A request body to be admitted, and the budgets that it needs.
struct body_demand
{
    // Length of the body; 0 if the request has none.
    uint64_t bytes = 0;
    bool usesDaemon = false;
    bool usesUpstream = false;
    // Set if the body crosses the link.
    std::optional<link_direction> link;
    // Expected time from the end of the body on the link until the response, and the time at which
    // the latency objective of the request ends. Only the budget of a link uses them.
    std::chrono::nanoseconds serviceTime{0};
    steady_time objectiveEnd = steady_time::max();
};

struct body_rejection
{
    body_limit limit = body_limit::Daemon;
    // Time until the link has carried enough of the bytes ahead; 0 if unknown.
    milliseconds retryAfter{0};
};

class body_budget;

// The bytes of an admitted body, which are released at the end of the lifetime. Used by one thread.
// The budget must outlive the object.
class body_reservation
{
public:
    body_reservation() = default;
    body_reservation(body_reservation &&other) noexcept;
    body_reservation &operator=(body_reservation &&other) noexcept;
    body_reservation(const body_reservation &) = delete;
    body_reservation &operator=(const body_reservation &) = delete;
    ~body_reservation();

    // Gives the time for `unsentBytes` of the body back to the link. Call it at most once, when the
    // body will not be sent any further.
    void returnLinkTime(uint64_t unsentBytes, steady_time now);

private:
    friend class body_budget;
    body_reservation(body_budget &budget, const body_demand &demand, steady_time linkEnd);
    void release();

    body_budget *m_budget = nullptr;
    body_demand m_demand;
    // When the link has carried the body, as planned at its admission.
    steady_time m_linkEnd;
};

// Decides whether the body of a request may be read and forwarded, from its length and the bytes in
// flight. A body larger than a budget is admitted while no other body is in flight, so that no
// request is always rejected. Thread safe.
class body_budget
{
public:
    explicit body_budget(const body_budget_options &options);

    // Reserves the bytes of the body in all budgets that it needs, or in none.
    std::variant<body_reservation, body_rejection> admit(const body_demand &demand,
                                                         steady_time now);
    // Returns why admit() would reject the body, and reserves nothing; nullopt if it would not.
    std::optional<body_rejection> peekRejection(const body_demand &demand, steady_time now) const;
    // Count response bytes that wait for a reader. They are never rejected, but leave less of the
    // daemon's budget to bodies.
    void addResponseBytes(uint64_t bytes);
    void removeResponseBytes(uint64_t bytes);
    // Returns the bytes in flight; for a link, those that it has not carried yet, as planned.
    uint64_t usedBytes(body_limit limit, steady_time now) const;

private:
    friend class body_reservation;

    struct held_bytes_budget
    {
        bool hasRoomFor(uint64_t bytes) const;

        uint64_t maxBytes = 0;
        uint64_t bodyBytes = 0;
        uint64_t responseBytes = 0;
    };
    // The functions below must be called with the mutex held.
    std::optional<body_rejection> findRejection(const body_demand &demand, steady_time now) const;
    std::optional<body_rejection> findLinkRejection(const body_demand &demand,
                                                    steady_time now) const;
    // Returns the rejection by a budget of held bytes, some of which must be released before the
    // body can be admitted.
    body_rejection rejectionBy(body_limit limit, const held_bytes_budget &budget,
                               uint64_t bytes) const;
    // Returns the time for which the link is busy with bodies admitted earlier.
    std::chrono::nanoseconds linkDelay(link_direction direction, steady_time now) const;

    std::chrono::nanoseconds transmissionTime(uint64_t bytes) const;
    void release(const body_demand &demand);
    void returnLinkTime(link_direction direction, uint64_t bytes, steady_time linkEnd,
                        steady_time now);

    const body_budget_options m_options;
    mutable std::mutex m_mutex;
    held_bytes_budget m_daemon;
    held_bytes_budget m_upstream;
    // When the link has carried all admitted bodies, by direction.
    std::array<steady_time, 2> m_linkFreeAt{};
};

} // namespace persimmonrail
