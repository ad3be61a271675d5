#include "persimmonrail/keyspace/range_lease_manager.h"

#include <algorithm>

namespace persimmonrail {

namespace {

// Longest time between the sending of a grant and its arrival at the upstream.
constexpr milliseconds maxGrantTransit{300};

bool overlap(key_interval a, key_interval b)
{
    return a.first <= b.last && b.first <= a.last;
}

// Returns the parts of `keys` that are in none of the `removed` intervals.
std::vector<key_interval> subtract(key_interval keys, const std::vector<key_interval> &removed)
{
    std::vector<key_interval> remaining{keys};
    for (const key_interval &other : removed) {
        std::vector<key_interval> uncovered;
        for (const key_interval &part : remaining) {
            if (!overlap(part, other)) {
                uncovered.push_back(part);
                continue;
            }
            if (part.first < other.first) {
                uncovered.push_back({part.first, other.first - 1});
            }
            if (other.last < part.last) {
                uncovered.push_back({other.last + 1, part.last});
            }
        }
        remaining = std::move(uncovered);
    }
    return remaining;
}

} // namespace

milliseconds range_lease_timing::maxHold() const
{
    return holdTime + holdTime * maxDriftPercent / 100;
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
    m_placement = placement;
    m_placementEpoch = m_epoch;
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

bool range_lease_manager::isMoving(key_interval keys) const
{
    return std::any_of(m_moving.begin(), m_moving.end(),
                       [keys](key_interval moved) { return overlap(moved, keys); });
}

std::vector<key_interval> range_lease_manager::excludeMoving(key_interval keys) const
{
    return subtract(keys, m_moving);
}

std::vector<key_interval> range_lease_manager::heldKeys(key_interval keys, boot_time now) const
{
    std::vector<key_interval> heldKeys;
    for (const held_grant &held : m_held) {
        if (now < held.sentAt + m_timing.holdTime && overlap(held.grant.keys, keys)) {
            heldKeys.push_back({std::max(held.grant.keys.first, keys.first),
                                std::min(held.grant.keys.last, keys.last)});
        }
    }
    return heldKeys;
}

std::vector<key_interval> range_lease_manager::grantableKeys(const owned_range &range,
                                                             boot_time now) const
{
    if (range.takeoverDelay.count() == 0) {
        return {range.keys};
    }
    return range.isCarriedOver() ? heldKeys(range.keys, now) : std::vector<key_interval>();
}

std::vector<range_grant> range_lease_manager::grantsWithin(key_interval keys) const
{
    std::vector<range_grant> within;
    for (const held_grant &held : m_held) {
        const key_interval part{std::max(held.grant.keys.first, keys.first),
                                std::min(held.grant.keys.last, keys.last)};
        if (part.first <= part.last) {
            within.push_back({part, held.grant.fence, ""});
        }
    }
    return within;
}

const range_lease_manager::held_grant *range_lease_manager::findHeld(key_interval keys,
                                                                     uint64_t fence) const
{
    const auto found = std::find_if(m_held.begin(), m_held.end(), [&](const held_grant &held) {
        return held.grant.fence == fence && held.grant.keys.first <= keys.first
            && keys.last <= held.grant.keys.last;
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

std::vector<range_grant> range_lease_manager::dueGrants(boot_time now) const
{
    std::vector<range_grant> due;
    if (!hasLease(now)) {
        return due;
    }
    for (const owned_range &range : m_placement.ranges) {
        if (!isOwn(range)) {
            continue;
        }
        for (const key_interval &grantable : grantableKeys(range, now)) {
            for (const key_interval &keys : excludeMoving(grantable)) {
                const held_grant *held = findHeld(keys, range.fence);
                if (held == nullptr || held->grant.keys != keys
                    || now - held->sentAt >= m_timing.renewalInterval) {
                    due.push_back({keys, range.fence, range.handover});
                }
            }
        }
    }
    return due;
}

bool range_lease_manager::canSend(const range_grant &grant, boot_time now) const
{
    if (!hasLease(now) || isMoving(grant.keys)) {
        return false;
    }
    return std::all_of(m_placement.ranges.begin(), m_placement.ranges.end(),
                       [&](const owned_range &range) {
                           if (!overlap(range.keys, grant.keys)) {
                               return true;
                           }
                           const key_interval part{std::max(range.keys.first, grant.keys.first),
                                                   std::min(range.keys.last, grant.keys.last)};
                           return isOwn(range) && range.fence == grant.fence
                               && subtract(part, grantableKeys(range, now)).empty();
                       });
}

void range_lease_manager::onGranted(const range_grant &grant, boot_time sentAt)
{
    onReleased(grant.keys, grant.fence);
    m_held.push_back({grant, sentAt});
}

void range_lease_manager::onGrantUnconfirmed(const range_grant &grant, milliseconds holdTime,
                                             boot_time sentAt)
{
    std::erase_if(m_unconfirmed,
                  [sentAt](const unconfirmed_grant &known) { return known.endsAt <= sentAt; });
    const boot_time endsAt =
        sentAt + maxGrantTransit + holdTime + holdTime * m_timing.maxDriftPercent / 100;
    m_unconfirmed.push_back({grant.keys, endsAt});
}

void range_lease_manager::recordDaemonStart(boot_time startedAt)
{
    onGrantUnconfirmed({key_interval(), 0, ""}, m_timing.holdTime, startedAt);
}

bool range_lease_manager::canMove(key_interval keys, boot_time now) const
{
    const bool isUnconfirmed = std::any_of(
        m_unconfirmed.begin(), m_unconfirmed.end(), [&](const unconfirmed_grant &known) {
            return now < known.endsAt && overlap(known.keys, keys);
        });
    return !isUnconfirmed
        && std::all_of(
            m_placement.ranges.begin(), m_placement.ranges.end(), [&](const owned_range &range) {
                return !overlap(range.keys, keys)
                    || std::all_of(m_held.begin(), m_held.end(), [&](const held_grant &held) {
                           return held.grant.fence == range.fence || !overlap(held.grant.keys, keys)
                               || !overlap(held.grant.keys, range.keys);
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
                return isOwn(range) && range.fence >= held.grant.fence
                    && overlap(range.keys, held.grant.keys);
            });
        const bool isReclaimable = now < held.sentAt + m_timing.holdTime
            && std::any_of(m_placement.ranges.begin(), m_placement.ranges.end(),
                           [&](const owned_range &range) {
                               return range.takeoverDelay.count() > 0 && !isOwn(range)
                                   && overlap(range.keys, held.grant.keys);
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
        const key_interval own = held.grant.keys;
        if (held.grant.fence > fence || own.last < keys.first || keys.last < own.first) {
            remaining.push_back(held);
            continue;
        }
        // The keys outside the released interval stay granted.
        if (own.first < keys.first) {
            remaining.push_back(held);
            remaining.back().grant.keys.last = keys.first - 1;
        }
        if (keys.last < own.last) {
            remaining.push_back(held);
            remaining.back().grant.keys.first = keys.last + 1;
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
    if (isMoving({key, key})) {
        return false;
    }
    return std::any_of(m_held.begin(), m_held.end(), [&](const held_grant &held) {
        if (!held.grant.keys.contains(key)
            || now >= held.sentAt + m_timing.holdTime - m_timing.dispatchMargin) {
            return false;
        }
        // A carried-over range is served under the older fence until the grant with the new one.
        const owned_range &range = m_placement.rangeOf(key);
        return range.fence == held.grant.fence || (isOwn(range) && range.isCarriedOver());
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

std::optional<boot_time> range_lease_manager::lastGrantEnd() const
{
    std::optional<boot_time> lastEnd;
    for (const held_grant &held : m_held) {
        const boot_time endsAt = held.sentAt + m_timing.maxHold();
        lastEnd = lastEnd ? std::max(*lastEnd, endsAt) : endsAt;
    }
    return lastEnd;
}

} // namespace persimmonrail
