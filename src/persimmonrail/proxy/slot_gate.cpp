#include "persimmonrail/proxy/slot_gate.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>

namespace persimmonrail {

class slot_gate::state
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

    // Wakes the waiters whose requests start. Called with the mutex held.
    void startWaiting(steady_time now)
    {
        for (const uint64_t id : queue.start(now)) {
            waiter &own = *waiters.at(id);
            own.hasStarted = true;
            own.changed.notify_one();
        }
    }

    std::mutex mutex;
    slot_queue queue;
    std::map<uint64_t, waiter *> waiters;
};

namespace {

template <typename shared_state> class ticket : public slot_ticket
{
public:
    ticket(std::shared_ptr<shared_state> state, uint64_t id)
        : m_state(std::move(state))
        , m_id(id)
    { }
    ticket(const ticket &) = delete;
    ticket &operator=(const ticket &) = delete;
    ~ticket() override
    {
        const steady_time now = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_state->mutex);
        m_state->queue.finish(m_id, m_isTypical, now);
        m_state->startWaiting(now);
    }
    void noteTypical() override { m_isTypical = true; }

private:
    std::shared_ptr<shared_state> m_state;
    const uint64_t m_id;
    bool m_isTypical = false;
};

} // namespace

slot_gate::slot_gate(slot_queue_options options)
    : m_state(std::make_shared<state>(options))
{ }

slot_gate::~slot_gate() = default;

void slot_gate::setSlots(int slots)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->queue.setSlots(slots);
}

slot_result slot_gate::enter(const slot_request &request, steady_time now)
{
    std::unique_lock lock(m_state->mutex);
    slot_queue::refusal refused;
    const auto id = m_state->queue.submit(request, now, refused);
    if (!id) {
        return refused;
    }
    state::waiter own;
    m_state->waiters.emplace(*id, &own);
    m_state->startWaiting(now);
    const bool hasStarted =
        own.changed.wait_until(lock, request.deadline, [&own] { return own.hasStarted; });
    m_state->waiters.erase(*id);
    if (!hasStarted) {
        m_state->queue.cancel(*id);
        return refused;
    }
    return std::make_unique<ticket<state>>(m_state, *id);
}

queue_report slot_gate::report() const
{
    const std::lock_guard lock(m_state->mutex);
    return {m_state->queue.running(), m_state->queue.waiting(), std::max(m_state->queue.slots(), 1),
            m_state->queue.meanService()};
}

} // namespace persimmonrail
