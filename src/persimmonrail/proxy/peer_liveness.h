#pragma once

#include "persimmonrail/base/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonrail {

struct peer_liveness_options
{
    // A peer counts as unresponsive if probes have waited for this time and the peer has not
    // responded to anything: its daemon hangs or is suspended. An overloaded daemon responds late,
    // but seldom that late to all requests and probes.
    milliseconds unresponsiveTimeout{3000};
    // After this time without a response, requests that may go to any upstream go to others.
    milliseconds suspicionTimeout{500};
    // Interval at which one request tests whether such a peer responds again.
    milliseconds testInterval{1000};
    // Time for which an unanswered probe counts after it was last checked. It exceeds the time from
    // one test to the end of the next.
    milliseconds memoryTime{2500};
};

// Remembers for each peer address how long probes have waited without any response of the peer. A
// response on any connection, however late, shows that the peer's daemon works. Thread safe.
class peer_liveness
{
public:
    explicit peer_liveness(peer_liveness_options options = {});

    // Records that the peer has responded to a request or a probe.
    void recordResponse(const std::string &address, steady_time now);
    // Records that a probe that was sent at `probedAt` has no response yet.
    void recordNoResponse(const std::string &address, steady_time probedAt, steady_time now);
    // Returns whether the peer is unresponsive.
    bool isUnresponsive(std::string_view address, steady_time now) const;
    // Returns whether requests that may go to any upstream should avoid the peer now. Returns false
    // if the peer is due for a test.
    bool shouldAvoid(std::string_view address, steady_time now) const;
    // Returns what tryBegin() would return, and records nothing.
    bool mayBegin(std::string_view address, steady_time now) const;
    // Returns whether a request may be sent to the peer: the peer is not unresponsive, or the
    // request is the next test.
    bool tryBegin(std::string_view address, steady_time now);

private:
    struct entry
    {
        steady_time respondedAt{};
        // Time since which probes wait without a response; nullopt after a response.
        std::optional<steady_time> unansweredSince;
        // When an unanswered probe was last checked.
        steady_time checkedAt{};
        steady_time testedAt{};
    };
    bool isUnresponsiveFor(const entry &peer, milliseconds time, steady_time now) const;
    bool isTestDue(const entry &peer, steady_time now) const;
    bool mayBegin(const entry &peer, steady_time now) const;

    const peer_liveness_options m_options;
    mutable std::mutex m_mutex;
    std::map<std::string, entry, std::less<>> m_peers;
};

} // namespace persimmonrail
