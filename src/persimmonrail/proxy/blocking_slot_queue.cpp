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

    explicit state(slot_queue_options options)
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
    }

    std::mutex mutex;
    slot_queue queue;
    std::map<uint64_t, waiter *> waiters;
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
        m_state->queue.finish(m_id, m_isRepresentative, now);
        m_state->startWaiters(now);
    }
    void markRepresentative() override { m_isRepresentative = true; }

private:
    std::shared_ptr<shared_state> m_state;
    const uint64_t m_id;
    bool m_isRepresentative = false;
};

} // namespace

blocking_slot_queue::blocking_slot_queue(slot_queue_options options)
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
    state::waiter self;
    m_state->waiters.emplace(*id, &self);
    m_state->startWaiters(now);
    // The end may be set while the thread waits.
    while (!self.hasStarted
           && std::chrono::steady_clock::now() < std::min(request.deadline, m_state->end)) {
        self.changed.wait_until(lock, std::min(request.deadline, m_state->end));
    }
    m_state->waiters.erase(*id);
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

queue_report blocking_slot_queue::report() const
{
    const std::lock_guard lock(m_state->mutex);
    return {m_state->queue.running(), m_state->queue.waiting(), std::max(m_state->queue.slots(), 1),
            m_state->queue.meanServiceTime(std::chrono::steady_clock::now())};
}

} // namespace persimmonrail
