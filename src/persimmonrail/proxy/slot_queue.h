#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

struct slot_queue_options
{
    // Service time assumed for a kind of request of which none has ended yet.
    milliseconds assumedService{50};
    // Weight of one ended request in the mean service time of its kind.
    double smoothing = 0.1;
    // While requests later in the order wait, one of this many starts is theirs, so that none is
    // starved.
    int laterTurn = 10;
    // A request is accepted if it is expected to end within this multiple of its time to target.
    double acceptedShare = 0.9;
    // Time over which the load that each kind offers is measured.
    milliseconds loadMemory{1000};
    // Largest part of the slots that is kept free for requests which come before others.
    double maxReserved = 0.5;
};

// A request that asks for a slot.
struct slot_request
{
    // Name of its route; requests of one kind take similar time.
    std::string kind;
    // 0 is the most urgent.
    int rank = 0;
    // Time from the arrival at the system within which an answer has its full worth.
    milliseconds objective{0};
    // That moment, and the one after which nobody waits.
    steady_time objectiveEnd;
    steady_time deadline;
};

// Decides which requests use the slots of one upstream whose only sender is this daemon.
//
// A free slot goes to the most urgent rank, and within a rank to the shortest objective, so that
// the calls on which running requests wait come before new work; then in the order of arrival. A
// request that is not expected to end within its objective is refused at once, so that the
// upstream's time goes to answers that are worth it. Requests that come later in this order leave
// as many slots free as those before them need on average; otherwise long work would hold all slots
// when short urgent work arrives. The number of slots is known, so it is not adapted to what the
// upstream does. No clock, no threads. Not thread safe.
class slot_queue
{
public:
    explicit slot_queue(slot_queue_options options = {});

    void setSlots(int slots) { m_slots = slots; }

    struct refusal
    {
        // Time until a request of this kind can be expected to be accepted.
        milliseconds retryAfter{0};
    };
    // Adds a request; nothing if it is refused.
    std::optional<uint64_t> submit(const slot_request &request, steady_time now, refusal &refused);
    // Returns the requests that start now. To be called after submit(), finish() and cancel().
    std::vector<uint64_t> start(steady_time now);
    // Removes a request that still waits.
    void cancel(uint64_t id);
    // A started request has ended. `isTypical`: its time says something about its kind.
    void finish(uint64_t id, bool isTypical, steady_time now);

    int running() const { return static_cast<int>(m_running.size()); }
    int waiting() const { return static_cast<int>(m_waiting.size()); }
    int slots() const { return m_slots; }
    // Mean time of the requests that ended lately, of all kinds.
    std::chrono::microseconds meanService() const;

private:
    struct waiting_request
    {
        uint64_t id = 0;
        slot_request request;
    };
    struct running_request
    {
        slot_request request;
        steady_time startedAt;
    };
    struct kind_load
    {
        // Its rank and objective decide its place in the order.
        slot_request example;
        // Mean number of slots that its requests would use if all were started.
        double offered = 0;
    };

    static bool isBefore(const slot_request &a, const slot_request &b);
    double serviceOf(const std::string &kind) const;
    // Seconds until the request would start.
    double expectedWait(const slot_request &request, steady_time now) const;
    // Slots that requests before this one in the order need on average, and those of them that they
    // do not use now.
    int slotsBefore(const slot_request &request) const;
    int reservedBefore(const slot_request &request) const;
    void noteArrival(const slot_request &request, steady_time now);
    // The waiting request that may start now; the end of the list if none may.
    std::list<waiting_request>::iterator next();

    const slot_queue_options m_options;
    int m_slots = 1;
    uint64_t m_lastId = 0;
    // Seconds, by kind.
    std::map<std::string, double> m_service;
    double m_meanService = 0;
    std::map<std::string, kind_load> m_loads;
    steady_time m_loadsAt{};
    // In the order in which they start.
    std::list<waiting_request> m_waiting;
    std::map<uint64_t, running_request> m_running;
    // Starts of the first in the order while others waited.
    int m_startsWhileOthersWait = 0;
};

} // namespace persimmonrail
