#include "persimmonrail/keyspace/range_lease_manager.h"

#include "persimmonrail/keyspace/grant_fence.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace persimmonrail {

namespace {

// Longest time between the sending of a grant and its arrival at the upstream.
constexpr milliseconds maxGrantTransit{300};

} // namespace

milliseconds range_lease_timing::longestHold(milliseconds hold) const
{
    return hold + hold * maxDriftPercent / 100;
}

milliseconds range_lease_timing::takeoverDelay() const
{
    // A grant may be sent just before the lease expires and then takes time to arrive.
    return leaseDuration + maxHold() + maxGrantTransit;
}

range_lease_manager::range_lease_manager(range_lease_timing timing)
    : m_timing(timing)
{ }

void range_lease_manager::onEpoch(uint64_t epoch, boot_time now)
{
    if (epoch > m_epoch) {
        m_epoch = epoch;
        m_epochSeenAt = now;
    }
}

void range_lease_manager::onPlacement(const key_placement &placement, boot_time confirmedAt,
                                      boot_time now)
{
    // A record with a move of the process before is based on a record that was read before this
    // moment, so it can't be written any more once the record has changed.
    if (m_unboundedStart && confirmedAt >= *m_unboundedStart + m_timing.sentMoveLifetime) {
        onEarlierFences(placement.highestFence);
    }
    m_placement = placement;
    m_placementEpoch = m_epoch;
    if (areFencesKnown() && m_replacementFence <= m_supersededFence
        && placement.highestFence > m_supersededFence) {
        m_replacementFence = placement.highestFence;
    }
    onConfirmed(confirmedAt);
    std::vector<std::pair<uint64_t, boot_time>> pending;
    for (const owned_range &range : m_placement.ranges) {
        if (range.takeoverDelay.count() == 0 || range.isCarriedOver() || !isOwn(range)) {
            continue;
        }
        const auto known =
            std::find_if(m_pendingTakeovers.begin(), m_pendingTakeovers.end(),
                         [&](const auto &entry) { return entry.first == range.fence; });
        pending.emplace_back(range.fence, known == m_pendingTakeovers.end() ? now : known->second);
    }
    m_pendingTakeovers = std::move(pending);
}

void range_lease_manager::onConfirmed(boot_time confirmedAt)
{
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
}

void range_lease_manager::setUpstream(const std::optional<upstream_id> &upstream)
{
    if (m_upstream != upstream) {
        // A new incarnation holds none of the grants of the previous one.
        if (!upstream || !m_upstream || upstream->name != m_upstream->name
            || upstream->startedAt != m_upstream->startedAt) {
            m_held.clear();
        }
        m_upstream = upstream;
    }
}

bool range_lease_manager::isOwn(const owned_range &range) const
{
    return m_upstream && range.owner == *m_upstream;
}

uint64_t range_lease_manager::grantFence(const owned_range &range) const
{
    const bool isReplaced = range.takeoverDelay.count() == 0 && range.fence <= m_supersededFence;
    return isReplaced ? std::max(range.fence, m_replacementFence) : range.fence;
}

bool range_lease_manager::needsNewFences(const upstream_id &owner) const
{
    return areFencesKnown()
        && std::any_of(m_placement.ranges.begin(), m_placement.ranges.end(),
                       [&](const owned_range &range) {
                           return range.owner == owner && needsNewFence(range);
                       });
}

std::vector<range_grant> range_lease_manager::lastGrantsOf(const upstream_id &ended) const
{
    std::vector<range_grant> grants;
    for (const owned_range &range : m_placement.ranges) {
        if (range.owner == ended) {
            for (const key_interval &keys : excludeMoving(range.keys)) {
                grants.push_back({keys, grantFence(range), "", releaseConnection});
            }
        }
    }
    return grants;
}

bool range_lease_manager::canSupersede(const range_grant &grant, boot_time now) const
{
    const owned_range &range = m_placement.rangeOf(grant.keys.first);
    return hasLease(now) && m_placementEpoch == m_epoch && !isMoving(grant.keys)
        && grantFence(range) == grant.fence && range.keys.contains(grant.keys)
        && range.takeoverDelay.count() == 0 && !needsNewFence(range);
}

bool range_lease_manager::isMoving(key_interval keys) const
{
    return std::any_of(m_moving.begin(), m_moving.end(),
                       [keys](key_interval moved) { return moved.overlaps(keys); });
}

std::vector<key_interval> range_lease_manager::excludeMoving(key_interval keys) const
{
    return subtract(keys, m_moving);
}

std::vector<key_interval> range_lease_manager::heldKeys(key_interval keys, boot_time now) const
{
    std::vector<key_interval> heldKeys;
    for (const held_grant &held : m_held) {
        const auto part = intersect(held.grant.keys, keys);
        if (part && now < held.certainUntil) {
            heldKeys.push_back(*part);
        }
    }
    return heldKeys;
}

std::vector<key_interval> range_lease_manager::reportedKeys(const owned_range &range,
                                                            boot_time now) const
{
    std::vector<key_interval> reported;
    for (const held_grant &held : m_held) {
        const auto part = intersect(held.grant.keys, range.keys);
        if (part && held.grant.connection == 0 && held.grant.fence == grantFence(range)
            && now < held.certainUntil) {
            reported.push_back(*part);
        }
    }
    return reported;
}

std::vector<key_interval> range_lease_manager::grantableKeys(const owned_range &range,
                                                             boot_time now) const
{
    if (needsNewFence(range)) {
        return reportedKeys(range, now);
    }
    if (range.takeoverDelay.count() == 0) {
        return {range.keys};
    }
    return range.isCarriedOver() ? heldKeys(range.keys, now) : std::vector<key_interval>();
}

std::vector<range_grant> range_lease_manager::grantsWithin(key_interval keys) const
{
    std::vector<range_grant> within;
    for (const held_grant &held : m_held) {
        if (const auto part = intersect(held.grant.keys, keys)) {
            within.push_back({*part, held.grant.fence, "", held.grant.connection});
        }
    }
    return within;
}

const range_lease_manager::held_grant *range_lease_manager::findHeld(key_interval keys,
                                                                     uint64_t fence) const
{
    const auto found = std::find_if(m_held.begin(), m_held.end(), [&](const held_grant &held) {
        return held.grant.fence == fence && held.grant.keys.contains(keys);
    });
    return found == m_held.end() ? nullptr : &*found;
}

bool range_lease_manager::hasLease(boot_time now) const
{
    return now - m_confirmedAt < m_timing.leaseDuration;
}

milliseconds range_lease_manager::maxSafeHold(boot_time now) const
{
    const auto untilTakeover = std::chrono::duration_cast<milliseconds>(
        m_confirmedAt + m_timing.takeoverDelay() - maxGrantTransit - now);
    return untilTakeover * 100 / (100 + m_timing.maxDriftPercent);
}

std::vector<range_grant> range_lease_manager::permittedGrants(boot_time now) const
{
    std::vector<range_grant> permitted;
    if (!hasLease(now)) {
        return permitted;
    }
    for (const owned_range &range : m_placement.ranges) {
        if (!isOwn(range)) {
            continue;
        }
        for (const key_interval &grantable : grantableKeys(range, now)) {
            for (const key_interval &keys : excludeMoving(grantable)) {
                permitted.push_back({keys, grantFence(range), range.handover});
            }
        }
    }
    return permitted;
}

std::vector<range_grant> range_lease_manager::dueGrants(boot_time now) const
{
    std::vector<range_grant> due = permittedGrants(now);
    std::erase_if(due, [&](const range_grant &grant) {
        const held_grant *held = findHeld(grant.keys, grant.fence);
        return held != nullptr && held->grant.keys == grant.keys
            && now - held->sentAt < m_timing.renewalInterval;
    });
    return due;
}

bool range_lease_manager::canSend(const range_grant &grant, boot_time now) const
{
    if (!hasLease(now) || isMoving(grant.keys)) {
        return false;
    }
    return std::all_of(m_placement.ranges.begin(), m_placement.ranges.end(),
                       [&](const owned_range &range) {
                           const auto part = intersect(range.keys, grant.keys);
                           return !part
                               || (isOwn(range) && grantFence(range) == grant.fence
                                   && subtract(*part, grantableKeys(range, now)).empty());
                       });
}

void range_lease_manager::onGranted(const range_grant &grant, boot_time sentAt)
{
    onReleased(grant.keys, grant.fence);
    m_held.push_back({grant, sentAt, sentAt + m_timing.holdTime});
}

void range_lease_manager::onHoldingsReported(const std::vector<range_grant> &reported,
                                             boot_time receivedAt)
{
    std::vector<held_grant> held;
    for (const range_grant &grant : reported) {
        const held_grant *known = findHeld(grant.keys, grant.fence);
        held.push_back(
            {grant, known == nullptr ? receivedAt : known->sentAt, receivedAt + maxGrantTransit});
    }
    m_held = std::move(held);
    // An upstream sends its heartbeats one after the other, so no earlier grant can take effect any
    // more.
    m_unconfirmed.clear();
}

void range_lease_manager::onGrantOffered(const range_grant &grant, boot_time receivedAt)
{
    const held_grant *known = findHeld(grant.keys, grant.fence);
    const boot_time certainUntil = known == nullptr ? boot_time{} : known->certainUntil;
    onReleased(grant.keys, grant.fence);
    m_held.push_back({grant, receivedAt, certainUntil});
}

void range_lease_manager::onGrantUnconfirmed(const range_grant &grant, milliseconds holdTime,
                                             boot_time sentAt)
{
    std::erase_if(m_unconfirmed,
                  [sentAt](const unconfirmed_grant &known) { return known.endsAt <= sentAt; });
    const boot_time endsAt = sentAt + maxGrantTransit + m_timing.longestHold(holdTime);
    m_unconfirmed.push_back({grant.keys, grant.fence, grant.connection, endsAt});
}

void range_lease_manager::recordDaemonStart(boot_time startedAt)
{
    onGrantUnconfirmed(
        {key_interval(), std::numeric_limits<uint64_t>::max(), "", maxGrantConnection},
        m_timing.longestGrant, startedAt);
    m_unboundedStart = startedAt;
}

void range_lease_manager::onEarlierFences(uint64_t highestFence)
{
    m_unboundedStart.reset();
    m_supersededFence = std::max(m_supersededFence, highestFence);
    for (unconfirmed_grant &grant : m_unconfirmed) {
        grant.fence = std::min(grant.fence, highestFence);
    }
}

bool range_lease_manager::canTakeEffect(const unconfirmed_grant &grant, key_interval keys,
                                        boot_time now) const
{
    const auto part = intersect(grant.keys, keys);
    if (!part || now >= grant.endsAt) {
        return false;
    }
    std::vector<key_interval> fenced;
    for (const held_grant &held : m_held) {
        if (std::tie(held.grant.fence, held.grant.connection)
            > std::tie(grant.fence, grant.connection)) {
            fenced.push_back(held.grant.keys);
        }
    }
    return !subtract(*part, fenced).empty();
}

bool range_lease_manager::canMove(key_interval keys, boot_time now) const
{
    const bool isUnconfirmed =
        std::any_of(m_unconfirmed.begin(), m_unconfirmed.end(),
                    [&](const auto &grant) { return canTakeEffect(grant, keys, now); });
    return !isUnconfirmed
        && std::all_of(
            m_placement.ranges.begin(), m_placement.ranges.end(), [&](const owned_range &range) {
                return !range.keys.overlaps(keys)
                    || std::all_of(m_held.begin(), m_held.end(), [&](const held_grant &held) {
                           return held.grant.fence == grantFence(range)
                               || !held.grant.keys.overlaps(keys)
                               || !held.grant.keys.overlaps(range.keys);
                       });
            });
}

void range_lease_manager::abandon(const std::vector<key_interval> &keys)
{
    if (m_placementEpoch == m_epoch) {
        return;
    }
    for (const key_interval &interval : keys) {
        owned_range &given = m_placement.isolateRange(interval);
        given.owner = given.previousOwner = {};
        given.takeoverDelay = milliseconds(0);
    }
}

void range_lease_manager::onGrantRejected(const range_grant &grant)
{
    std::erase_if(m_held, [&](const held_grant &held) {
        return held.grant.fence == grant.fence && held.grant.keys == grant.keys;
    });
}

std::vector<key_interval> range_lease_manager::reclaimableKeys(boot_time now) const
{
    std::vector<key_interval> keys;
    for (const owned_range &range : m_placement.ranges) {
        if (isOwn(range) || range.takeoverDelay.count() == 0) {
            continue;
        }
        for (const key_interval &held : heldKeys(range.keys, now)) {
            for (const key_interval &part : excludeMoving(held)) {
                keys.push_back(part);
            }
        }
    }
    return keys;
}

std::vector<range_grant> range_lease_manager::dueReleases(boot_time now) const
{
    std::vector<range_grant> due;
    for (const held_grant &held : m_held) {
        const bool isRecorded = std::any_of(
            m_placement.ranges.begin(), m_placement.ranges.end(), [&](const owned_range &range) {
                return isOwn(range) && grantFence(range) >= held.grant.fence
                    && range.keys.overlaps(held.grant.keys);
            });
        const bool isReclaimable = now < held.certainUntil
            && std::any_of(m_placement.ranges.begin(), m_placement.ranges.end(),
                           [&](const owned_range &range) {
                               return range.takeoverDelay.count() > 0 && !isOwn(range)
                                   && range.keys.overlaps(held.grant.keys);
                           });
        if (!isRecorded && !isReclaimable) {
            due.push_back(held.grant);
        }
    }
    return due;
}

void range_lease_manager::onReleased(key_interval keys, uint64_t fence)
{
    std::vector<held_grant> remaining;
    for (const held_grant &held : m_held) {
        if (held.grant.fence > fence) {
            remaining.push_back(held);
            continue;
        }
        // The keys outside the released interval stay granted.
        for (const key_interval &kept : subtract(held.grant.keys, {keys})) {
            remaining.push_back(held);
            remaining.back().grant.keys = kept;
        }
    }
    m_held = std::move(remaining);
}

std::vector<uint64_t> range_lease_manager::dueTakeovers(boot_time now) const
{
    std::vector<uint64_t> due;
    for (const owned_range &range : m_placement.ranges) {
        const auto pending =
            std::find_if(m_pendingTakeovers.begin(), m_pendingTakeovers.end(),
                         [&](const auto &entry) { return entry.first == range.fence; });
        if (isOwn(range) && range.takeoverDelay.count() > 0 && !range.isCarriedOver()
            && pending != m_pendingTakeovers.end()
            && now - pending->second >= range.takeoverDelay) {
            due.push_back(range.fence);
        }
    }
    return due;
}

bool range_lease_manager::isCarryOverEnded(boot_time now) const
{
    return std::any_of(
        m_placement.ranges.begin(), m_placement.ranges.end(), [&](const owned_range &range) {
            return range.isCarriedOver() && now - m_epochSeenAt >= range.takeoverDelay;
        });
}

bool range_lease_manager::canServe(shard_key key, boot_time now) const
{
    // A restarted daemon learns from a heartbeat what the upstream holds, before it knows the
    // owners.
    if (m_placement.ranges.empty() || isMoving({key, key})) {
        return false;
    }
    return std::any_of(m_held.begin(), m_held.end(), [&](const held_grant &held) {
        if (!held.grant.keys.contains(key)
            || now >= held.sentAt + m_timing.holdTime - m_timing.dispatchMargin) {
            return false;
        }
        // A carried-over range is served under the older fence until the grant with the new one.
        const owned_range &range = m_placement.rangeOf(key);
        return grantFence(range) == held.grant.fence || (isOwn(range) && range.isCarriedOver());
    });
}

std::vector<key_interval> range_lease_manager::servedIntervals(boot_time now) const
{
    std::vector<key_interval> intervals;
    for (const held_grant &held : m_held) {
        if (now < held.sentAt + m_timing.holdTime) {
            intervals.push_back(held.grant.keys);
        }
    }
    return intervals;
}

} // namespace persimmonrail
