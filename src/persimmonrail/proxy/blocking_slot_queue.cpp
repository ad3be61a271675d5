#include "persimmonrail/proxy/blocking_slot_queue.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>

namespace persimmonrail {

class blocking_slot_queue::state
{
public:
    struct waiter
    {
        std::condition_variable changed;
        bool hasStarted = false;
    };

    explicit state(const slot_queue_options &options)
        : queue(options)
    { }

    // Starts the requests that may start now and wakes their threads. Must be called with the mutex
    // held.
    void startWaiters(steady_time now)
    {
        for (const uint64_t id : queue.startRequests(now)) {
            waiter &self = *waiters.at(id);
            self.hasStarted = true;
            self.changed.notify_one();
        }
        const steady_time next = queue.nextDelayedStart(now);
        if (next != nextDelayedStart) {
            nextDelayedStart = next;
            wakeFirstWaiter();
        }
    }

    // The first waiting thread sleeps only until the limit allows the next start; the others are
    // woken by it.
    bool isFirstWaiter(const waiter &self) const { return waiters.begin()->second == &self; }
    void wakeFirstWaiter()
    {
        if (!waiters.empty()) {
            waiters.begin()->second->changed.notify_one();
        }
    }
    // Removes a thread that waits no longer.
    void remove(uint64_t id)
    {
        waiters.erase(id);
        if (nextDelayedStart != steady_time::max()) {
            wakeFirstWaiter();
        }
    }

    std::mutex mutex;
    slot_queue queue;
    std::map<uint64_t, waiter *> waiters;
    // When the limit on the starts allows the next one; the maximum if it delays none.
    steady_time nextDelayedStart = steady_time::max();
    // When all requests that still wait are rejected.
    steady_time end = steady_time::max();
};

namespace {

template <typename shared_state> class permit : public slot_permit
{
public:
    permit(std::shared_ptr<shared_state> state, uint64_t id)
        : m_state(std::move(state))
        , m_id(id)
    { }
    permit(const permit &) = delete;
    permit &operator=(const permit &) = delete;
    ~permit() override
    {
        const steady_time now = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_state->mutex);
        if (m_isCounted) {
            m_state->queue.finish(m_id, m_isRepresentative, now);
        } else {
            m_state->queue.withdraw(m_id);
        }
        m_state->startWaiters(now);
    }
    void markRepresentative() override { m_isRepresentative = true; }
    void markNotCounted() override { m_isCounted = false; }

private:
    std::shared_ptr<shared_state> m_state;
    const uint64_t m_id;
    bool m_isRepresentative = false;
    bool m_isCounted = true;
};

// While the upstream is cold, one of its slots counts as occupied for as long as the permitted rate
// gives for a request, so that load and service time fit each other.
queue_report reportOf(const slot_queue &queue, steady_time now)
{
    queue_report report{queue.running(), queue.waitingBeforeRetries(), std::max(queue.slots(), 1),
                        queue.meanServiceTime(now)};
    const cold_rate_limit &limit = queue.coldLimit();
    if (!limit.isCold(now)) {
        return report;
    }
    const int permitted = limit.permittedPerSecond();
    const std::chrono::microseconds timePerSlot =
        std::chrono::microseconds(std::chrono::seconds(report.limit)) / permitted;
    if (timePerSlot > report.meanServiceTime) {
        const int occupied = limit.recentStarts(now) * report.limit / permitted;
        report.running =
            std::clamp(occupied, report.running, std::max(report.running, report.limit));
        report.meanServiceTime = timePerSlot;
    }
    return report;
}

} // namespace

blocking_slot_queue::blocking_slot_queue(const slot_queue_options &options)
    : m_state(std::make_shared<state>(options))
{ }

blocking_slot_queue::~blocking_slot_queue() = default;

void blocking_slot_queue::setSlots(int slots)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->queue.setSlots(slots);
}

void blocking_slot_queue::recordWorkFactor(double factor, steady_time now)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->queue.recordWorkFactor(factor, now);
}

slot_result blocking_slot_queue::acquire(const slot_request &request, steady_time now)
{
    std::unique_lock lock(m_state->mutex);
    slot_queue::rejection rejected;
    const auto id = m_state->queue.submit(request, now, rejected);
    if (!id) {
        return rejected;
    }
    const steady_time requestEnd = m_state->queue.waitEnd(*id);
    state::waiter self;
    m_state->waiters.emplace(*id, &self);
    // The request may have arrived some time ago, since its body was read first. The limit counts
    // the start at the time at which the request can be sent.
    const bool isLimited = m_state->queue.coldLimit().isEnabled();
    m_state->startWaiters(isLimited ? std::max(now, std::chrono::steady_clock::now()) : now);
    while (!self.hasStarted) {
        const steady_time woken = std::chrono::steady_clock::now();
        // The end may be set while the thread waits.
        const steady_time waitEnd = std::min(requestEnd, m_state->end);
        if (woken >= requestEnd) {
            rejected = m_state->queue.expire(*id, woken);
            m_state->startWaiters(woken);
        }
        if (woken >= waitEnd) {
            break;
        }
        if (woken >= m_state->nextDelayedStart) {
            m_state->startWaiters(woken);
            continue;
        }
        self.changed.wait_until(
            lock,
            m_state->isFirstWaiter(self) ? std::min(waitEnd, m_state->nextDelayedStart) : waitEnd);
    }
    m_state->remove(*id);
    if (!self.hasStarted) {
        m_state->queue.cancel(*id);
        return rejected;
    }
    return std::make_unique<permit<state>>(m_state, *id);
}

void blocking_slot_queue::stopAt(steady_time end)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->end = end;
    for (const auto &[id, waiting] : m_state->waiters) {
        waiting->changed.notify_one();
    }
}

void blocking_slot_queue::changeColdLimit(const std::function<void(cold_rate_limit &limit)> &change,
                                          steady_time now)
{
    const std::lock_guard lock(m_state->mutex);
    change(m_state->queue.coldLimit());
    m_state->startWaiters(now);
}

cold_rate_limit blocking_slot_queue::coldLimit() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->queue.coldLimit();
}

slot_queue blocking_slot_queue::snapshot() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->queue;
}

uint64_t blocking_slot_queue::delayedCount() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->queue.delayedCount();
}

uint64_t blocking_slot_queue::returnsAnnounced() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->queue.returns().announcedCount();
}

int blocking_slot_queue::returnsDue(steady_time now) const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->queue.returns().due(now);
}

std::chrono::microseconds blocking_slot_queue::meanServiceTime() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->queue.meanServiceTime(std::chrono::steady_clock::now());
}

queue_report blocking_slot_queue::report() const
{
    const steady_time now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_state->mutex);
    return reportOf(m_state->queue, now);
}

} // namespace persimmonrail
