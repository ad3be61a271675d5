// How an owner gives keys away: choosing them, releasing them, and writing the new owners.
#include "persimmonrail/base/text.h"
#include "persimmonrail/router/range_controller.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Keys are released only if the store answered this lately, since the move has to be written.
constexpr milliseconds storeFreshness{3000};
// Between two moves, so that the loads reported after the first one count for the second.
constexpr milliseconds moveInterval{1000};
// The same for an owner that can serve what is asked of it: its keys pause while they move.
constexpr milliseconds calmMoveInterval{4000};
constexpr double overload = 1.0;
// Owners of one service write the same record, and the loser of a race writes again at once.
constexpr int maxMoveRetries = 4;
// A write without an answer may take effect some seconds later. Released keys stay unserved so
// long, or until a further write decides which of them the record shows.
constexpr milliseconds maxOpenWrite{7000};

} // namespace

void range_controller::considerMove(steady_time now)
{
    if (m_moving || m_writePending || (!m_isDraining && now - m_movedAt < moveInterval)
        || m_peers.live.empty() || bootNow() - m_confirmedAt > storeFreshness) {
        return;
    }
    const auto *placed = m_directory->findPlacement(m_service);
    if (placed == nullptr) {
        return;
    }
    std::vector<range_candidate> others;
    for (const range_candidate &candidate : m_peers.live) {
        if (candidate.id != *m_upstream) {
            others.push_back(candidate);
        }
    }
    if (others.empty()) {
        return;
    }
    if (m_isDraining) {
        std::vector<planned_move> moves;
        size_t turn = 0;
        for (const key_interval &keys : ownIntervals()) {
            moves.push_back({keys, others[turn++ % others.size()].id});
        }
        if (moves.size() == 1 && others.size() > 1 && moves[0].keys.count() > 1) {
            const shard_key middle = moves[0].keys.first + moves[0].keys.count() / 2;
            moves.push_back({{middle, moves[0].keys.last}, others[1].id});
            moves[0].keys.last = middle - 1;
        }
        if (!moves.empty()) {
            startMove(std::move(moves), "leaving");
        }
        return;
    }
    const auto share = chooseShareForNewcomer(placed->placement, *m_upstream, m_peers.live);
    if (share) {
        startMove({*share}, "newcomer");
        return;
    }
    const owner_load load = ownLoad();
    if (load.utilization < overload && now - m_movedAt < calmMoveInterval) {
        return;
    }
    auto moves = chooseMoves(
        ownIntervals(), [this](shard_key key) { return m_rates.rate(key); }, load, m_peers.loads);
    if (!moves.empty()) {
        startMove(std::move(moves), "load");
    }
}

// A full queue refuses what it can't serve, so its length alone hides how much is asked of it.
owner_load range_controller::ownLoad() const
{
    double asked = 0;
    for (const key_interval &keys : ownIntervals()) {
        for (shard_key key = keys.first; key <= keys.last; ++key) {
            asked += m_rates.rate(key);
        }
    }
    const int slots = std::max(m_queue.limit, 1);
    const double offered =
        asked * std::chrono::duration<double>(m_queue.meanServiceTime).count() / slots;
    return {*m_upstream, slots, std::max(offered, m_inUse), m_queue.meanServiceTime};
}

void range_controller::startMove(std::vector<planned_move> moves, std::string_view reason)
{
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(moves, [this](const planned_move &move) {
            return !m_leaseManager.canMove(move.keys, bootNow());
        });
    }
    if (moves.empty()) {
        return;
    }
    m_moving = true;
    std::vector<key_interval> intervals;
    for (const planned_move &move : moves) {
        intervals.push_back(move.keys);
        logRange("give", move.keys, 0, "begun",
                 absl::StrCat(toAbsl(reason), ",to:", move.target.name));
    }
    std::vector<release_order> orders;
    {
        const std::lock_guard lock(m_mutex);
        m_leaseManager.setMoving(intervals);
        for (const planned_move &move : moves) {
            for (const range_grant &grant : m_leaseManager.heldWithin(move.keys)) {
                orders.push_back({grant, move.target});
            }
        }
    }
    // A grant of these keys may be on its way; it must not arrive after the release.
    afterGrants([this, orders = std::move(orders), address = m_address]() mutable {
        {
            const std::lock_guard lock(m_mutex);
            std::erase_if(orders, [this](const release_order &order) {
                return !m_leaseManager.canMove(order.grant.keys, bootNow());
            });
        }
        release_outcome outcome = releaseAll(m_grants, address, orders);
        for (const absl::Status &failure : outcome.failures) {
            m_log.write(log_level::Warn, absl::StrCat("release failed: ", failure.ToString()));
        }
        m_loop.post([this, released = std::move(outcome.released)](steady_time) {
            {
                const std::lock_guard lock(m_mutex);
                for (const released_range &range : released) {
                    m_leaseManager.onReleased(range.grant.keys, range.grant.fence);
                }
            }
            finishMove(released, maxMoveRetries);
        });
    });
}

void range_controller::endMove()
{
    m_moving = false;
    m_unconfirmedMove.reset();
    m_movedAt = std::chrono::steady_clock::now();
    {
        const std::lock_guard lock(m_mutex);
        m_leaseManager.setMoving({});
    }
    renewGrants();
}

void range_controller::finishMove(const std::vector<released_range> &moved, int tries)
{
    const auto *placed = m_directory->findPlacement(m_service);
    if (placed == nullptr || moved.empty()) {
        endMove();
        return;
    }
    key_placement next = placed->placement;
    for (const released_range &part : moved) {
        const key_interval keys = part.grant.keys;
        const owned_range range = next.rangeOf(keys.first);
        // The record may have changed while the release ran.
        if (m_upstream && range.owner == *m_upstream && range.keys.contains(keys.last)) {
            next = moveRange(std::move(next), keys, part.target, part.handover);
        }
    }
    if (next == placed->placement) {
        endMove();
        return;
    }
    write({std::move(next), placed->version, "give"},
          [this, moved, tries](write_result result) { onMoveWritten(moved, tries, result); });
}

void range_controller::onMoveWritten(const std::vector<released_range> &moved, int tries,
                                     write_result result)
{
    if (result == write_result::Lost && tries > 0) {
        // The released keys still have to go to their new owners.
        m_unconfirmedMove.reset();
        finishMove(moved, tries - 1);
        return;
    }
    if (result == write_result::Open && !m_unconfirmedMove) {
        m_unconfirmedMove = {moved, std::chrono::steady_clock::now() + maxOpenWrite};
    }
    const bool isDecided = result == write_result::Written || result == write_result::Lost;
    if (!m_unconfirmedMove || isDecided) {
        endMove();
    }
}

// Writes again what may have been written: the first of these writes that takes effect makes the
// others fail, since all expect the same version.
void range_controller::retryUnconfirmedMove(steady_time now)
{
    if (!m_unconfirmedMove || m_writePending || now < m_nextWriteAt) {
        return;
    }
    if (now >= m_unconfirmedMove->until) {
        endMove();
        return;
    }
    finishMove(std::vector(m_unconfirmedMove->moved), maxMoveRetries);
}

} // namespace persimmonrail
