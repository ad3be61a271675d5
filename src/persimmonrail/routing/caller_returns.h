#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace persimmonrail {

struct caller_returns_options
{
    // Largest difference between the deadlines of two attempts of one caller. A deadline is
    // computed from the arrival and the stated time, and the time on the way from the caller
    // varies.
    milliseconds maxDeadlineDifference{20};
    // A return may come this much before its announced time, which the caller rounds.
    milliseconds maxEarliness{5};
    // Callers wait for at most this share of the time that they have left.
    double maxWaitShare = 1.0 / 3;
    // Failed requests that are kept; beyond this number those with the earliest deadlines are
    // dropped.
    size_t maxRequests = 4096;
};

// Recognizes callers that send a request again after it has failed. Callers state the time that
// they have left, so the attempts of one caller have the same deadline, and later ones state less
// time. Attempts of one caller arrive at the same daemon. Thread safe; reads no clock.
class caller_returns
{
public:
    explicit caller_returns(caller_returns_options options = {});

    // A request as its caller has sent it.
    struct request
    {
        std::string route;
        // Key of the request; empty if it has none.
        std::optional<uint64_t> key;
        // Time that the caller states it has left.
        milliseconds statedTimeout{0};
        steady_time arrivedAt;
    };
    // What is known of the earlier attempts of a returning caller.
    struct earlier_attempt
    {
        steady_time firstArrivedAt;
        // When the caller was told to return; the time of the failure if it was told no time.
        steady_time announcedAt;
    };

    // Returns what is known of an earlier attempt at the request, and forgets it; nullopt if the
    // request is a first attempt as far as is known.
    std::optional<earlier_attempt> takeEarlier(const request &returned);
    // Returns whether a caller that returns at this time waited for as long as it was told.
    bool isDue(const earlier_attempt &earlier, steady_time now) const;
    // Records that the request has failed at `now`, so that its caller may return.
    void recordFailure(const request &failed, const earlier_attempt &attempt, steady_time now);

private:
    struct failed_request
    {
        std::string route;
        std::optional<uint64_t> key;
        milliseconds statedTimeout{0};
        earlier_attempt attempt;
    };
    // Drops the requests whose deadline has passed, and the earliest deadlines beyond maxRequests.
    void dropOld(steady_time now);

    const caller_returns_options m_options;
    std::mutex m_mutex;
    // By deadline.
    std::multimap<steady_time, failed_request> m_failed;
};

} // namespace persimmonrail
