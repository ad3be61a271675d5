#include "persimmonrail/admission/rank_admission.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace persimmonrail {
namespace {

// Sent with rejections that are not derived from the length of the queue.
constexpr milliseconds defaultRetryAfter{1000};

// Returns the floors of the ranks in the document, or a single floor of 0 if there are none.
std::vector<double> floorsOf(const service_document *document)
{
    std::vector<double> floors;
    if (document != nullptr) {
        for (const rank_rule &rank : document->ranks) {
            floors.push_back(rank.floor);
        }
    }
    if (floors.empty()) {
        floors.push_back(0);
    }
    return floors;
}

// A thread that is blocked in admit(). The mutex of rank_admission::state guards `decision`.
struct waiter
{
    std::condition_variable changed;
    std::optional<queue_decision> decision;
};

} // namespace

class rank_admission::state
{
public:
    // Applies changes of the slots, the document and the boot id to the queue, and creates the
    // queue on the first call. The mutex must be held.
    void applySource(const admission_options &options, const admission_source &source,
                     steady_time now);
    // Passes the decisions of the queue to the waiting threads and wakes them. The mutex must be
    // held.
    void deliverDecisions(steady_time now);

    std::function<admission_source()> readSource;
    admission_options options;
    std::mutex mutex;
    std::optional<admission_queue> queue;
    std::map<uint64_t, waiter *> waiters;

private:
    int m_slots = 0;
    std::string m_bootId;
    std::shared_ptr<const service_document> m_document;
};

namespace {

// Occupies one slot until finish() or destruction. A ticket that is destroyed without finish()
// counts as a request with an unknown outcome.
template <typename shared_state> class rank_ticket : public admission_ticket
{
public:
    rank_ticket(std::shared_ptr<shared_state> state, uint64_t id)
        : m_state(std::move(state))
        , m_id(id)
    { }
    rank_ticket(const rank_ticket &) = delete;
    rank_ticket &operator=(const rank_ticket &) = delete;
    ~rank_ticket() override
    {
        if (!m_isFinished) {
            release(request_outcome::Unknown, "", std::chrono::nanoseconds(0),
                    std::chrono::steady_clock::now());
        }
    }

    void finish(request_outcome outcome, std::string_view reason, std::chrono::nanoseconds latency,
                steady_time now) override
    {
        release(outcome, reason, latency, now);
    }

private:
    void release(request_outcome outcome, std::string_view reason, std::chrono::nanoseconds latency,
                 steady_time now)
    {
        m_isFinished = true;
        const std::lock_guard lock(m_state->mutex);
        m_state->queue->finish(m_id, outcome, reason, latency, now);
        m_state->deliverDecisions(now);
    }

    std::shared_ptr<shared_state> m_state;
    const uint64_t m_id;
    bool m_isFinished = false;
};

} // namespace

void rank_admission::state::applySource(const admission_options &options,
                                        const admission_source &source, steady_time now)
{
    if (!queue) {
        queue.emplace(options, floorsOf(source.document.get()), source.slots, now);
    } else {
        if (source.slots != m_slots) {
            queue->setSlots(source.slots);
        }
        if (source.document != m_document) {
            queue->setFloors(floorsOf(source.document.get()));
        }
        if (source.bootId != m_bootId) {
            queue->onUpstreamRestart(now);
        }
    }
    m_slots = source.slots;
    m_document = source.document;
    m_bootId = source.bootId;
}

void rank_admission::state::deliverDecisions(steady_time now)
{
    for (queue_decision &decision : queue->poll(now)) {
        // Each undecided request has a waiter, because a thread removes its waiter and cancels its
        // request under one lock of the mutex.
        waiter &receiver = *waiters.at(decision.id);
        receiver.decision = std::move(decision);
        receiver.changed.notify_one();
    }
}

rank_admission::rank_admission(const admission_options &options,
                               std::function<admission_source()> source)
    : m_state(std::make_shared<state>())
{
    m_state->options = options;
    m_state->readSource = std::move(source);
}

rank_admission::~rank_admission() = default;

admission_result rank_admission::admit(const admission_request &request, steady_time now)
{
    const admission_source source = m_state->readSource();
    if (source.slots <= 0) {
        return admission_rejection{"upstream-down", defaultRetryAfter};
    }
    std::unique_lock lock(m_state->mutex);
    m_state->applySource(m_state->options, source, now);
    auto submitted =
        m_state->queue->submit(request.rank, request.subsidiary, request.deadline, now);
    if (auto *const rejection = std::get_if<queue_rejection>(&submitted)) {
        return admission_rejection{std::move(rejection->reason), rejection->retryAfter};
    }
    const uint64_t id = std::get<uint64_t>(submitted);
    waiter self;
    m_state->waiters.emplace(id, &self);
    m_state->deliverDecisions(now);
    const bool isDecided = self.changed.wait_until(lock, request.deadline,
                                                   [&self] { return self.decision.has_value(); });
    m_state->waiters.erase(id);
    if (!isDecided) {
        m_state->queue->cancel(id);
        return admission_rejection{"deadline-unreachable", defaultRetryAfter};
    }
    if (self.decision->rejection) {
        return admission_rejection{self.decision->rejection->reason,
                                   self.decision->rejection->retryAfter};
    }
    return std::make_unique<rank_ticket<state>>(m_state, id);
}

int rank_admission::limit() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->queue ? m_state->queue->concurrencyLimit() : 0;
}

int rank_admission::running() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->queue ? m_state->queue->runningCount() : 0;
}

} // namespace persimmonrail
