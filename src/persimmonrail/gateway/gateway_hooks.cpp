#include "persimmonrail/gateway/gateway_hooks.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace persimmonrail {
namespace {

// Requests take a few milliseconds, so a caller that retries after this time finds a free slot in
// most cases.
constexpr milliseconds overloadRetryAfter{1000};

} // namespace

void admission_ticket::finish(request_outcome, std::string_view, std::chrono::nanoseconds,
                              steady_time)
{ }

class slot_admission::state
{
public:
    std::mutex mutex;
    std::condition_variable slotFreed;
    std::function<int()> slots;
    int maxQueueLength = 0;
    milliseconds maxQueueTime{0};
    int usedSlots = 0;
    int waitingRequests = 0;
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
        --m_state->usedSlots;
        m_state->slotFreed.notify_one();
    }

private:
    std::shared_ptr<shared_state> m_state;
};

} // namespace

slot_admission::slot_admission(std::function<int()> slots, int maxQueueLength,
                               milliseconds maxQueueTime)
    : m_state(std::make_shared<state>())
{
    m_state->slots = std::move(slots);
    m_state->maxQueueLength = maxQueueLength;
    m_state->maxQueueTime = maxQueueTime;
}

slot_admission::~slot_admission() = default;

admission_result slot_admission::admit(steady_time deadline, steady_time now)
{
    const int slots = m_state->slots();
    std::unique_lock lock(m_state->mutex);
    if (m_state->usedSlots >= slots) {
        if (m_state->waitingRequests >= m_state->maxQueueLength) {
            return admission_rejection{"overload", overloadRetryAfter};
        }
        ++m_state->waitingRequests;
        const bool isFree =
            m_state->slotFreed.wait_until(lock, std::min(deadline, now + m_state->maxQueueTime),
                                          [&] { return m_state->usedSlots < slots; });
        --m_state->waitingRequests;
        if (!isFree) {
            return admission_rejection{"overload", overloadRetryAfter};
        }
    }
    ++m_state->usedSlots;
    return std::make_unique<slot_ticket<state>>(m_state);
}

int slot_admission::slotsInUse() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->usedSlots;
}

std::vector<member_record> candidatesFromRecord(const fleet_view &view, std::string_view service,
                                                uint64_t hash, std::string_view hintedHolder)
{
    std::vector<member_record> result;
    const auto add = [&result](const member_record *member) {
        if (member != nullptr
            && std::none_of(result.begin(), result.end(),
                            [member](const auto &existing) { return existing.id == member->id; })) {
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
