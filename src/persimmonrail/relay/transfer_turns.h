#pragma once

#include "persimmonrail/base/clock.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>

namespace persimmonrail {

struct transfer_turns_options
{
    // Answers of at least this size take turns; smaller ones go at once.
    size_t largeBytes = 16 * 1024;
    // A transfer goes on without a turn after this time: one that is stuck must not hold up others.
    milliseconds longestWait{1000};
    // A transfer gives up its turn after this time.
    milliseconds longestTurn{400};
};

// Lets large answers leave this host one after the other. Several at once fill the queue of the
// host's link with all of their windows, so that small answers and new connections wait behind
// them, and each large answer ends as late as the last one. Thread safe.
class transfer_turns
{
public:
    // A place in the order, given back on destruction. Used by one thread.
    class turn
    {
    public:
        explicit turn(transfer_turns &turns, steady_time end)
            : m_turns(turns)
            , m_end(end)
        { }
        turn(const turn &) = delete;
        turn &operator=(const turn &) = delete;
        ~turn() { m_turns.leave(); }
        bool isOver(steady_time now) const { return now >= m_end; }

    private:
        transfer_turns &m_turns;
        const steady_time m_end;
    };

    explicit transfer_turns(transfer_turns_options options = {});

    // Whether an answer of this size takes turns.
    bool isLarge(size_t bytes) const { return bytes >= m_options.largeBytes; }
    // Waits for the turn of the calling thread, in the order of arrival. Null if that took too
    // long.
    std::unique_ptr<turn> enter();

private:
    void leave();

    const transfer_turns_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isTaken = false;
    uint64_t m_lastTicket = 0;
    std::deque<uint64_t> m_waiting;
};

} // namespace persimmonrail
