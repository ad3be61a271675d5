#include "persimmonrail/keyspace/range_lease_manager.h"

#include <algorithm>

namespace persimmonrail {

namespace {

// A grant may take this long from the moment at which it is sent to its arrival.
constexpr milliseconds grantTransit{300};

} // namespace

milliseconds range_lease_timing::maxHold() const
{
    return holdTime + holdTime * driftPercent / 100;
}

milliseconds range_lease_timing::takeOverAfter() const
{
    // A grant may be sent at the last moment of the confirmation life and take a while to arrive.
    return confirmationLife + maxHold() + grantTransit;
}

range_lease_manager::range_lease_manager(range_lease_timing timing)
    : m_timing(timing)
{ }

void range_lease_manager::onPlacement(const key_placement &placement, boot_time confirmedAt,
                                      boot_time now)
{
    m_placement = placement;
    onConfirmed(confirmedAt);
    std::vector<std::pair<uint64_t, boot_time>> seen;
    for (const owned_range &range : m_placement.ranges) {
        if (range.takeOverAfter.count() == 0 || !isOwn(range)) {
            continue;
        }
        const auto known =
            std::find_if(m_takeoversSeen.begin(), m_takeoversSeen.end(),
                         [&](const auto &entry) { return entry.first == range.fence; });
        seen.emplace_back(range.fence, known == m_takeoversSeen.end() ? now : known->second);
    }
    m_takeoversSeen = std::move(seen);
}

void range_lease_manager::onConfirmed(boot_time confirmedAt)
{
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
}

void range_lease_manager::setUpstream(const std::optional<upstream_id> &upstream)
{
    if (m_upstream != upstream) {
        // Another life holds nothing of what its predecessor was granted.
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

std::vector<key_interval> range_lease_manager::keptOf(key_interval keys) const
{
    std::vector<key_interval> kept{keys};
    for (const key_interval &moved : m_moving) {
        std::vector<key_interval> left;
        for (const key_interval &part : kept) {
            if (moved.last < part.first || part.last < moved.first) {
                left.push_back(part);
                continue;
            }
            if (part.first < moved.first) {
                left.push_back({part.first, moved.first - 1});
            }
            if (moved.last < part.last) {
                left.push_back({moved.last + 1, part.last});
            }
        }
        kept = std::move(left);
    }
    return kept;
}

std::vector<range_grant> range_lease_manager::heldWithin(key_interval keys) const
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
    return now - m_confirmedAt < m_timing.confirmationLife;
}

milliseconds range_lease_manager::maxSafeHold(boot_time now) const
{
    const auto left = std::chrono::duration_cast<milliseconds>(
        m_confirmedAt + m_timing.takeOverAfter() - grantTransit - now);
    return left * 100 / (100 + m_timing.driftPercent);
}

std::vector<range_grant> range_lease_manager::dueGrants(boot_time now) const
{
    std::vector<range_grant> due;
    if (!hasLease(now)) {
        return due;
    }
    for (const owned_range &range : m_placement.ranges) {
        if (!isOwn(range) || range.takeOverAfter.count() > 0) {
            continue;
        }
        for (const key_interval &keys : keptOf(range.keys)) {
            const held_grant *held = findHeld(keys, range.fence);
            if (held == nullptr || held->grant.keys != keys
                || now - held->sentAt >= m_timing.renewInterval) {
                due.push_back({keys, range.fence, range.handover});
            }
        }
    }
    return due;
}

bool range_lease_manager::maySend(const range_grant &grant, boot_time now) const
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
                  [sentAt](const unconfirmed_grant &known) { return known.end <= sentAt; });
    const boot_time end = sentAt + grantTransit + holdTime + holdTime * m_timing.driftPercent / 100;
    m_unconfirmed.push_back({grant.keys, end});
}

void range_lease_manager::noteStart(boot_time startedAt)
{
    onGrantUnconfirmed({key_interval(), 0, ""}, m_timing.holdTime, startedAt);
}

bool range_lease_manager::canMove(key_interval keys, boot_time now) const
{
    return std::none_of(m_unconfirmed.begin(), m_unconfirmed.end(),
                        [&](const unconfirmed_grant &known) {
                            return now < known.end && known.keys.first <= keys.last
                                && keys.first <= known.keys.last;
                        });
}

void range_lease_manager::onGrantRefused(const range_grant &grant)
{
    std::erase_if(m_held, [&](const held_grant &held) {
        return held.grant.fence == grant.fence && held.grant.keys == grant.keys;
    });
}

std::vector<range_grant> range_lease_manager::dueReleases() const
{
    std::vector<range_grant> due;
    for (const held_grant &held : m_held) {
        const bool recorded = std::any_of(m_placement.ranges.begin(), m_placement.ranges.end(),
                                          [&](const owned_range &range) {
                                              return isOwn(range) && range.fence >= held.grant.fence
                                                  && range.keys.first <= held.grant.keys.last
                                                  && held.grant.keys.first <= range.keys.last;
                                          });
        if (!recorded) {
            due.push_back(held.grant);
        }
    }
    return due;
}

void range_lease_manager::onReleased(key_interval keys, uint64_t fence)
{
    std::vector<held_grant> left;
    for (const held_grant &held : m_held) {
        const key_interval own = held.grant.keys;
        if (held.grant.fence > fence || own.last < keys.first || keys.last < own.first) {
            left.push_back(held);
            continue;
        }
        // What was not released stays in force.
        if (own.first < keys.first) {
            left.push_back(held);
            left.back().grant.keys.last = keys.first - 1;
        }
        if (keys.last < own.last) {
            left.push_back(held);
            left.back().grant.keys.first = keys.last + 1;
        }
    }
    m_held = std::move(left);
}

bool range_lease_manager::isTakeoverDue(boot_time now) const
{
    return std::any_of(
        m_placement.ranges.begin(), m_placement.ranges.end(), [&](const owned_range &range) {
            const auto seen =
                std::find_if(m_takeoversSeen.begin(), m_takeoversSeen.end(),
                             [&](const auto &entry) { return entry.first == range.fence; });
            return isOwn(range) && range.takeOverAfter.count() > 0 && seen != m_takeoversSeen.end()
                && now - seen->second >= range.takeOverAfter;
        });
}

bool range_lease_manager::mayServe(shard_key key, boot_time now) const
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

std::vector<key_interval> range_lease_manager::served(boot_time now) const
{
    std::vector<key_interval> intervals;
    for (const held_grant &held : m_held) {
        if (now < held.sentAt + m_timing.holdTime) {
            intervals.push_back(held.grant.keys);
        }
    }
    return intervals;
}

std::optional<boot_time> range_lease_manager::lastHoldEnd() const
{
    std::optional<boot_time> end;
    for (const held_grant &held : m_held) {
        const boot_time heldUntil = held.sentAt + m_timing.maxHold();
        end = end ? std::max(*end, heldUntil) : heldUntil;
    }
    return end;
}

} // namespace persimmonrail
