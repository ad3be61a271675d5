#include "persimmonrail/gateway/gateway_hooks.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace persimmonrail {
namespace {

// A refused caller that waits this long finds a free slot in most cases, since requests take some
// milliseconds.
constexpr milliseconds overloadRetryAfter{1000};

} // namespace

void admission_ticket::finish(request_outcome, std::string_view, std::chrono::nanoseconds,
                              steady_time)
{ }

class slot_admission::state
{
public:
    std::mutex mutex;
    std::condition_variable freed;
    std::function<int()> slots;
    int queueLength = 0;
    milliseconds maxWait{0};
    int used = 0;
    int waiting = 0;
};

namespace {

template <typename shared_state> class slot_ticket : public admission_ticket
{
public:
    explicit slot_ticket(std::shared_ptr<shared_state> state)
        : m_state(std::move(state))
    { }
    slot_ticket(const slot_ticket &) = delete;
    slot_ticket &operator=(const slot_ticket &) = delete;
    ~slot_ticket() override
    {
        const std::lock_guard lock(m_state->mutex);
        --m_state->used;
        m_state->freed.notify_one();
    }

private:
    std::shared_ptr<shared_state> m_state;
};

} // namespace

slot_admission::slot_admission(std::function<int()> slots, int queueLength, milliseconds maxWait)
    : m_state(std::make_shared<state>())
{
    m_state->slots = std::move(slots);
    m_state->queueLength = queueLength;
    m_state->maxWait = maxWait;
}

slot_admission::~slot_admission() = default;

admission_result slot_admission::admit(steady_time deadline, steady_time now)
{
    const int slots = m_state->slots();
    std::unique_lock lock(m_state->mutex);
    if (m_state->used >= slots) {
        if (m_state->waiting >= m_state->queueLength) {
            return admission_refusal{"overload", overloadRetryAfter};
        }
        ++m_state->waiting;
        const bool isFree =
            m_state->freed.wait_until(lock, std::min(deadline, now + m_state->maxWait),
                                      [&] { return m_state->used < slots; });
        --m_state->waiting;
        if (!isFree) {
            return admission_refusal{"overload", overloadRetryAfter};
        }
    }
    ++m_state->used;
    return std::make_unique<slot_ticket<state>>(m_state);
}

int slot_admission::inUse() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->used;
}

std::vector<member_record> recordCandidates(const fleet_view &view, std::string_view service,
                                            uint64_t hash, std::string_view hintedHolder)
{
    std::vector<member_record> result;
    const auto add = [&result](const member_record *member) {
        if (member != nullptr
            && std::none_of(result.begin(), result.end(),
                            [member](const auto &known) { return known.id == member->id; })) {
            result.push_back(*member);
        }
    };
    const versioned_record *const record = view.findRecord(service, hash);
    if (record != nullptr) {
        add(view.findMember(record->record.owner));
    }
    if (const auto hinted = view.members.find(hintedHolder); hinted != view.members.end()) {
        add(&hinted->second);
    }
    if (record != nullptr) {
        for (const instance_id &standby : record->record.standbys) {
            add(view.findMember(standby));
        }
    }
    return result;
}

} // namespace persimmonrail
