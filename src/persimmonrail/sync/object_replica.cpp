#include "persimmonrail/sync/object_replica.h"

#include "persimmonrail/sync/versioned_objects.h"
#include "persimmonrail/sync/view_builder.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace persimmonrail {
namespace {

// Minimum revisions are kept for at most this many instance names, about 1 MB.
constexpr size_t maxMinimumRevisions = 16384;

stored_object fromWire(const wire::Object &object)
{
    return {object.key(), object.version(), object.deleted(), object.value()};
}

// A pull of the whole state that is in progress.
struct full_pull
{
    versioned_objects objects;
    // Revision up to which the received pages are complete.
    uint64_t revision = 0;
    // The received pages reflect every deletion up to this revision, because the sender of each
    // page knew of these deletions. Undefined before the first page.
    uint64_t deletionsCompleteTo = 0;
    // Highest revision of a sender. The state is complete once `revision` reaches this value.
    uint64_t targetRevision = 0;
    // Deletions up to this revision may be missing.
    uint64_t horizon = 0;
};

} // namespace

class object_replica::state
{
public:
    explicit state(hooks hooks)
        : viewBuilder(std::move(hooks))
    { }

    // Stores the object if it is newer than the known version. Returns whether the object was
    // stored.
    bool put(stored_object object, steady_time now);
    bool applyIncrementalReply(const wire::PullReply &reply, steady_time now);
    bool applyFullPullPage(uint64_t afterRevision, const wire::PullReply &reply, steady_time now);
    void replaceState(const versioned_objects &source, uint64_t newRevision, uint64_t newHorizon,
                      steady_time now);
    // Counts a reply that could not be applied for lack of tombstones, and starts a pull of the
    // whole state after maxRejectedPullReplies consecutive rejected replies.
    void recordRejectedReply();
    // Stores the revision that an instance reported. Returns the highest revision that the instance
    // had reported before, or 0 if none is known.
    uint64_t recordReportedRevision(const instance_id &requester, uint64_t reported);

    versioned_objects objects;
    uint64_t revision = 0;
    // Tombstones up to this revision may be missing from `objects`.
    uint64_t horizon = 0;
    bool isReady = false;
    // Consecutive replies that could not be applied for lack of tombstones.
    int rejectedReplies = 0;
    std::optional<full_pull> fullPull;
    // Highest revision that each instance has reported, by instance name.
    std::unordered_map<std::string, uint64_t> minimumRevisions;
    view_builder viewBuilder;
};

bool object_replica::state::put(stored_object object, steady_time now)
{
    const std::string key = object.key;
    if (!objects.put(std::move(object), now)) {
        return false;
    }
    viewBuilder.markChanged(key);
    return true;
}

bool object_replica::state::applyIncrementalReply(const wire::PullReply &reply, steady_time now)
{
    for (const auto &object : reply.objects()) {
        put(fromWire(object), now);
    }
    revision = reply.complete_to();
    rejectedReplies = 0;
    fullPull.reset();
    return true;
}

bool object_replica::state::applyFullPullPage(uint64_t afterRevision, const wire::PullReply &reply,
                                              steady_time now)
{
    if (afterRevision > fullPull->revision || reply.complete_to() <= fullPull->revision) {
        return false;
    }
    const bool isFirstPage = fullPull->revision == 0;
    if (!isFirstPage && reply.horizon() > fullPull->deletionsCompleteTo) {
        recordRejectedReply();
        return false;
    }
    for (const auto &object : reply.objects()) {
        fullPull->objects.put(fromWire(object), now);
    }
    rejectedReplies = 0;
    fullPull->revision = reply.complete_to();
    fullPull->deletionsCompleteTo =
        isFirstPage ? reply.revision() : std::min(fullPull->deletionsCompleteTo, reply.revision());
    fullPull->targetRevision = std::max(fullPull->targetRevision, reply.revision());
    fullPull->horizon = std::max(fullPull->horizon, reply.horizon());
    if (fullPull->revision >= fullPull->targetRevision && fullPull->revision > revision) {
        replaceState(fullPull->objects, fullPull->revision, fullPull->horizon, now);
    }
    return true;
}

// Replaces the state by the complete state `source`, whose revision must be higher.
void object_replica::state::replaceState(const versioned_objects &source, uint64_t newRevision,
                                         uint64_t newHorizon, steady_time now)
{
    std::vector<std::string> deletedKeys;
    for (const auto &[key, object] : objects.byKey()) {
        if (!object.deleted && source.find(key) == nullptr) {
            deletedKeys.push_back(key);
        }
    }
    // The version of each deletion is unknown, but not higher than the revision of the new state.
    for (auto &key : deletedKeys) {
        put({std::move(key), newRevision, true, {}}, now);
    }
    for (const auto &[key, object] : source.byKey()) {
        put(object, now);
    }
    revision = newRevision;
    horizon = std::max(horizon, newHorizon);
    rejectedReplies = 0;
    fullPull.reset();
}

void object_replica::state::recordRejectedReply()
{
    ++rejectedReplies;
    if (rejectedReplies >= maxRejectedPullReplies) {
        fullPull.emplace();
        rejectedReplies = 0;
    }
}

uint64_t object_replica::state::recordReportedRevision(const instance_id &requester,
                                                       uint64_t reported)
{
    const auto entry = minimumRevisions.find(requester.name);
    if (entry != minimumRevisions.end()) {
        const uint64_t previous = entry->second;
        entry->second = std::max(previous, reported);
        return previous;
    }
    if (minimumRevisions.size() >= maxMinimumRevisions) {
        minimumRevisions.erase(
            std::min_element(minimumRevisions.begin(), minimumRevisions.end(),
                             [](auto &left, auto &right) { return left.second < right.second; }));
    }
    minimumRevisions.emplace(requester.name, reported);
    return 0;
}

object_replica::object_replica(hooks hooks)
    : m_state(std::make_unique<state>(std::move(hooks)))
{ }

object_replica::~object_replica() = default;

uint64_t object_replica::revision() const
{
    return m_state->revision;
}

const stored_object *object_replica::find(std::string_view key) const
{
    const auto *object = m_state->objects.find(key);
    return object != nullptr && !object->deleted ? object : nullptr;
}

void object_replica::visitPrefix(std::string_view prefix,
                                 const std::function<void(const stored_object &)> &visit) const
{
    const auto &objects = m_state->objects.byKey();
    for (auto entry = objects.lower_bound(prefix);
         entry != objects.end() && std::string_view(entry->first).starts_with(prefix); ++entry) {
        if (!entry->second.deleted) {
            visit(entry->second);
        }
    }
}

size_t object_replica::tombstoneCount() const
{
    return m_state->objects.tombstoneCount();
}

wire::Pull object_replica::nextPullRequest() const
{
    wire::Pull pull;
    pull.set_after_revision(m_state->fullPull ? m_state->fullPull->revision : m_state->revision);
    return pull;
}

bool object_replica::applyPull(uint64_t afterRevision, const wire::PullReply &reply,
                               steady_time now)
{
    auto &state = *m_state;
    // A peer that is not ready sends revision 0.
    if (reply.revision() == 0) {
        return false;
    }
    const bool advancesRevision =
        afterRevision <= state.revision && reply.complete_to() > state.revision;
    if (advancesRevision && reply.horizon() <= state.revision) {
        return state.applyIncrementalReply(reply, now);
    }
    if (!state.fullPull && state.revision == 0) {
        state.fullPull.emplace();
    }
    if (state.fullPull) {
        return state.applyFullPullPage(afterRevision, reply, now);
    }
    if (advancesRevision) {
        state.recordRejectedReply();
    }
    return false;
}

bool object_replica::applyWatch(uint64_t sinceRevision, const object_list &changes, steady_time now)
{
    auto &state = *m_state;
    if (sinceRevision > state.revision || changes.revision <= state.revision) {
        return false;
    }
    for (const auto &object : changes.objects) {
        state.put(object, now);
    }
    state.revision = changes.revision;
    state.fullPull.reset();
    state.rejectedReplies = 0;
    return true;
}

bool object_replica::applyList(const object_list &list, steady_time now)
{
    if (list.revision <= m_state->revision) {
        return false;
    }
    versioned_objects source;
    for (const auto &object : list.objects) {
        source.put(object, now);
    }
    m_state->replaceState(source, list.revision, list.revision, now);
    return true;
}

wire::PullReply object_replica::respondToPull(const wire::Pull &pull, const instance_id &requester)
{
    auto &state = *m_state;
    wire::PullReply reply;
    reply.set_floor(state.recordReportedRevision(requester, pull.after_revision()));
    if (state.isReady) {
        reply.set_revision(state.revision);
        reply.set_horizon(state.horizon);
        reply.set_complete_to(
            state.objects.appendChanges(reply, pull.after_revision(), state.revision));
    }
    return reply;
}

void object_replica::markReady()
{
    m_state->isReady = true;
}

void object_replica::expireTombstones(steady_time now)
{
    const uint64_t highestDropped =
        m_state->objects.expireTombstones(now, [](size_t count, milliseconds age) {
            return count > maxTombstones
                || (count > minRetainedTombstones && age > minTombstoneRetention);
        });
    m_state->horizon = std::max(m_state->horizon, highestDropped);
}

std::shared_ptr<const fleet_view> object_replica::buildView()
{
    return m_state->viewBuilder.build(
        m_state->revision, [this](std::string_view key) { return m_state->objects.find(key); });
}

} // namespace persimmonrail
