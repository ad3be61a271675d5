#include "persimmonrail/keyspace/range_lease_manager.h"

#include <algorithm>

namespace persimmonrail {

namespace {

// Longest time between the sending of a grant and its arrival at the upstream.
constexpr milliseconds maxGrantTransit{300};

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

void range_lease_manager::onPlacement(const key_placement &placement, boot_time confirmedAt,
                                      boot_time now)
{
    m_placement = placement;
    onConfirmed(confirmedAt);
    std::vector<std::pair<uint64_t, boot_time>> pending;
    for (const owned_range &range : m_placement.ranges) {
        if (range.takeoverDelay.count() == 0 || !isOwn(range)) {
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
    return std::any_of(m_moving.begin(), m_moving.end(), [keys](key_interval moved) {
        return moved.first <= keys.last && keys.first <= moved.last;
    });
}

std::vector<key_interval> range_lease_manager::excludeMoving(key_interval keys) const
{
    std::vector<key_interval> remaining{keys};
    for (const key_interval &moved : m_moving) {
        std::vector<key_interval> uncovered;
        for (const key_interval &part : remaining) {
            if (moved.last < part.first || part.last < moved.first) {
                uncovered.push_back(part);
                continue;
            }
            if (part.first < moved.first) {
                uncovered.push_back({part.first, moved.first - 1});
            }
            if (moved.last < part.last) {
                uncovered.push_back({moved.last + 1, part.last});
            }
        }
        remaining = std::move(uncovered);
    }
    return remaining;
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
        if (!isOwn(range) || range.takeoverDelay.count() > 0) {
            continue;
        }
        for (const key_interval &keys : excludeMoving(range.keys)) {
            const held_grant *held = findHeld(keys, range.fence);
            if (held == nullptr || held->grant.keys != keys
                || now - held->sentAt >= m_timing.renewalInterval) {
                due.push_back({keys, range.fence, range.handover});
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
                           const bool overlaps = range.keys.first <= grant.keys.last
                               && grant.keys.first <= range.keys.last;
                           return !overlaps || (isOwn(range) && range.fence == grant.fence);
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
    return std::none_of(m_unconfirmed.begin(), m_unconfirmed.end(),
                        [&](const unconfirmed_grant &known) {
                            return now < known.endsAt && known.keys.first <= keys.last
                                && keys.first <= known.keys.last;
                        });
}

void range_lease_manager::onGrantRejected(const range_grant &grant)
{
    std::erase_if(m_held, [&](const held_grant &held) {
        return held.grant.fence == grant.fence && held.grant.keys == grant.keys;
    });
}

std::vector<range_grant> range_lease_manager::dueReleases() const
{
    std::vector<range_grant> due;
    for (const held_grant &held : m_held) {
        const bool isRecorded = std::any_of(
            m_placement.ranges.begin(), m_placement.ranges.end(), [&](const owned_range &range) {
                return isOwn(range) && range.fence >= held.grant.fence
                    && range.keys.first <= held.grant.keys.last
                    && held.grant.keys.first <= range.keys.last;
            });
        if (!isRecorded) {
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
        if (!isOwn(range) || range.takeoverDelay.count() == 0) {
            continue;
        }
        const auto pending =
            std::find_if(m_pendingTakeovers.begin(), m_pendingTakeovers.end(),
                         [&](const auto &entry) { return entry.first == range.fence; });
        if (pending != m_pendingTakeovers.end() && now - pending->second >= range.takeoverDelay) {
            due.push_back(range.fence);
        }
    }
    return due;
}

bool range_lease_manager::canServe(shard_key key, boot_time now) const
{
    if (isMoving({key, key})) {
        return false;
    }
    return std::any_of(m_held.begin(), m_held.end(), [&](const held_grant &held) {
        return held.grant.keys.contains(key)
            && now < held.sentAt + m_timing.holdTime - m_timing.dispatchMargin
            && m_placement.rangeOf(key).fence == held.grant.fence;
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
