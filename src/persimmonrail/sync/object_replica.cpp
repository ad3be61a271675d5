#include "persimmonrail/sync/object_replica.h"

#include "persimmonrail/sync/versioned_objects.h"
#include "persimmonrail/sync/view_builder.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace persimmonrail {
namespace {

// Floors are kept for this many instance names, about 1 MB.
constexpr size_t maxMinimumRevisions = 16384;

stored_object fromWire(const wire::Object &object)
{
    return {object.key(), object.version(), object.deleted(), object.value()};
}

// A pull of the whole state in progress.
struct staged_state
{
    versioned_objects objects;
    // Known up to here, as far as the pages have come.
    uint64_t revision = 0;
    // All deletions up to here have been taken into account by the pages so far, since their
    // sources knew of them. Undefined before the first page.
    uint64_t deletionsKnown = 0;
    // The state is complete once it reaches the revision of each of its sources.
    uint64_t completeAt = 0;
    uint64_t horizon = 0;
};

} // namespace

class object_replica::state
{
public:
    explicit state(hooks hooks)
        : views(std::move(hooks))
    { }

    bool put(stored_object object, steady_time now);
    bool applyIncrement(const wire::PullReply &reply, steady_time now);
    bool applyPage(uint64_t afterRevision, const wire::PullReply &reply, steady_time now);
    void adopt(const versioned_objects &source, uint64_t newRevision, uint64_t newHorizon,
               steady_time now);
    void noteRefusal();
    uint64_t noteMinimumRevision(const instance_id &asking, uint64_t reported);

    versioned_objects objects;
    uint64_t revision = 0;
    // Tombstones up to this revision may be missing.
    uint64_t horizon = 0;
    bool ready = false;
    int refusals = 0;
    std::optional<staged_state> staged;
    std::unordered_map<std::string, uint64_t> minimumRevisions;
    view_builder views;
};

bool object_replica::state::put(stored_object object, steady_time now)
{
    const std::string key = object.key;
    if (!objects.put(std::move(object), now)) {
        return false;
    }
    views.noteChanged(key);
    return true;
}

bool object_replica::state::applyIncrement(const wire::PullReply &reply, steady_time now)
{
    for (const auto &object : reply.objects()) {
        put(fromWire(object), now);
    }
    revision = reply.complete_to();
    refusals = 0;
    staged.reset();
    return true;
}

bool object_replica::state::applyPage(uint64_t afterRevision, const wire::PullReply &reply,
                                      steady_time now)
{
    if (afterRevision > staged->revision || reply.complete_to() <= staged->revision) {
        return false;
    }
    const bool first = staged->revision == 0;
    if (!first && reply.horizon() > staged->deletionsKnown) {
        noteRefusal();
        return false;
    }
    for (const auto &object : reply.objects()) {
        staged->objects.put(fromWire(object), now);
    }
    refusals = 0;
    staged->revision = reply.complete_to();
    staged->deletionsKnown =
        first ? reply.revision() : std::min(staged->deletionsKnown, reply.revision());
    staged->completeAt = std::max(staged->completeAt, reply.revision());
    staged->horizon = std::max(staged->horizon, reply.horizon());
    if (staged->revision >= staged->completeAt && staged->revision > revision) {
        adopt(staged->objects, staged->revision, staged->horizon, now);
    }
    return true;
}

// Replaces the state by a complete one of a higher revision.
void object_replica::state::adopt(const versioned_objects &source, uint64_t newRevision,
                                  uint64_t newHorizon, steady_time now)
{
    std::vector<std::string> missing;
    for (const auto &[key, object] : objects.byKey()) {
        if (!object.deleted && source.find(key) == nullptr) {
            missing.push_back(key);
        }
    }
    // The version of the deletion is unknown, but it is not above the revision of the new state.
    for (auto &key : missing) {
        put({std::move(key), newRevision, true, {}}, now);
    }
    for (const auto &[key, object] : source.byKey()) {
        put(object, now);
    }
    revision = newRevision;
    horizon = std::max(horizon, newHorizon);
    refusals = 0;
    staged.reset();
}

void object_replica::state::noteRefusal()
{
    ++refusals;
    if (refusals >= refusalsBeforeWholePull) {
        staged.emplace();
        refusals = 0;
    }
}

uint64_t object_replica::state::noteMinimumRevision(const instance_id &asking, uint64_t reported)
{
    const auto entry = minimumRevisions.find(asking.name);
    if (entry != minimumRevisions.end()) {
        const uint64_t before = entry->second;
        entry->second = std::max(before, reported);
        return before;
    }
    if (minimumRevisions.size() >= maxMinimumRevisions) {
        minimumRevisions.erase(
            std::min_element(minimumRevisions.begin(), minimumRevisions.end(),
                             [](auto &left, auto &right) { return left.second < right.second; }));
    }
    minimumRevisions.emplace(asking.name, reported);
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

size_t object_replica::tombstones() const
{
    return m_state->objects.tombstones();
}

wire::Pull object_replica::nextPull() const
{
    wire::Pull pull;
    pull.set_after_revision(m_state->staged ? m_state->staged->revision : m_state->revision);
    return pull;
}

bool object_replica::applyPull(uint64_t afterRevision, const wire::PullReply &reply,
                               steady_time now)
{
    auto &state = *m_state;
    // A peer that is not ready states revision 0.
    if (reply.revision() == 0) {
        return false;
    }
    const bool advances = afterRevision <= state.revision && reply.complete_to() > state.revision;
    if (advances && reply.horizon() <= state.revision) {
        return state.applyIncrement(reply, now);
    }
    if (!state.staged && state.revision == 0) {
        state.staged.emplace();
    }
    if (state.staged) {
        return state.applyPage(afterRevision, reply, now);
    }
    if (advances) {
        state.noteRefusal();
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
    state.staged.reset();
    state.refusals = 0;
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
    m_state->adopt(source, list.revision, list.revision, now);
    return true;
}

wire::PullReply object_replica::respondToPull(const wire::Pull &pull, const instance_id &asking)
{
    auto &state = *m_state;
    wire::PullReply reply;
    reply.set_floor(state.noteMinimumRevision(asking, pull.after_revision()));
    if (state.ready) {
        reply.set_revision(state.revision);
        reply.set_horizon(state.horizon);
        reply.set_complete_to(state.objects.fill(reply, pull.after_revision(), state.revision));
    }
    return reply;
}

void object_replica::markReady()
{
    m_state->ready = true;
}

void object_replica::expireTombstones(steady_time now)
{
    const uint64_t dropped = m_state->objects.expire(now, [](size_t left, milliseconds age) {
        return left > maxTombstones || (left > tombstonesKept && age > tombstoneAge);
    });
    m_state->horizon = std::max(m_state->horizon, dropped);
}

std::shared_ptr<const fleet_view> object_replica::buildView()
{
    return m_state->views.build(
        m_state->revision, [this](std::string_view key) { return m_state->objects.find(key); });
}

} // namespace persimmonrail
