// The simulated time, store, upstreams and disruptions.
#include "restore_simulation.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/keyspace/grant_fence.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

using namespace std::chrono_literals;

namespace persimmonrail {
restore_simulation::restore_simulation(uint64_t seed, disabled_mechanisms disabled,
                                       simulated_setup setup)
    : m_random(seed)
    , m_disabled(disabled)
    , m_setup(setup)
{
    for (size_t i = 0; i < daemonCount; ++i) {
        m_daemons[i].index = i;
        m_daemons[i].isOld = setup.areSomeOld && i % 2 == 1;
        m_content.startedAt[i] = 1;
        startDaemon(m_daemons[i]);
    }
}

std::string restore_simulation::run()
{
    scheduleDisruptions();
    const boot_time end = startTime + disruptionsEnd + recoveryTime;
    for (; m_now < end && m_violation.empty(); m_now += 10ms) {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        if (m_now.count() % std::chrono::nanoseconds(tickInterval).count() == 0) {
            keepCopy();
            for (simulated_daemon &daemon : m_daemons) {
                if (daemon.isUp) {
                    tick(daemon);
                }
            }
        }
        checkHolders();
    }
    if (m_violation.empty()) {
        checkAllHeld();
        checkMembers();
    }
    return m_violation;
}

std::vector<size_t> restore_simulation::cellsOf(key_interval keys)
{
    std::vector<size_t> cells;
    for (size_t cell = 0; cell < cellCount; ++cell) {
        if (keys.contains(static_cast<shard_key>(cell) * cellSize)) {
            cells.push_back(cell);
        }
    }
    return cells;
}

int64_t restore_simulation::between(int64_t low, int64_t high)
{
    return std::uniform_int_distribution<int64_t>(low, high)(m_random);
}

void restore_simulation::after(milliseconds delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void restore_simulation::note(const std::string &line)
{
    m_log.push_back(absl::StrCat(
        std::chrono::duration_cast<milliseconds>(m_now - startTime).count(), " ", line));
}

void restore_simulation::fail(const std::string &violation)
{
    note(violation);
    if (m_violation.empty()) {
        m_violation = violation;
    }
}

upstream_id restore_simulation::idOf(size_t index, int64_t startedAt)
{
    return {std::string(1, static_cast<char>('a' + index)), startedAt};
}

void restore_simulation::checkHolders()
{
    for (size_t cell = 0; cell < cellCount; ++cell) {
        std::vector<std::string> holders;
        for (size_t i = 0; i < daemonCount; ++i) {
            const cell_hold &hold = m_upstreams[i].cells[cell];
            if (m_now < hold.endsAt) {
                holders.push_back(
                    absl::StrCat(toString(idOf(i, m_upstreams[i].startedAt)), ":", hold.fence));
            }
        }
        if (holders.size() > 1) {
            fail(absl::StrCat("two holders of cell ", cell, ": ", absl::StrJoin(holders, " ")));
        }
    }
}

void restore_simulation::checkAllHeld()
{
    for (size_t cell = 0; cell < cellCount; ++cell) {
        const bool isHeld = std::any_of(m_upstreams.begin(), m_upstreams.end(),
                                        [&](const simulated_upstream &upstream) {
                                            return m_now < upstream.cells[cell].endsAt;
                                        });
        if (!isHeld) {
            fail(absl::StrCat("no holder of cell ", cell));
        }
    }
}

void restore_simulation::checkMembers()
{
    for (size_t i = 0; i < daemonCount; ++i) {
        if (m_content.startedAt[i] != m_upstreams[i].startedAt
            || m_content.endedAt[i] == m_upstreams[i].startedAt) {
            fail(absl::StrCat("upstream ", i, " is not a member"));
        }
    }
}

bool restore_simulation::applyGrant(size_t index, int64_t startedAt, const range_grant &grant,
                                    milliseconds holdTime, boot_time arrivedAt)
{
    simulated_upstream &upstream = m_upstreams[index];
    // The clock of the upstream may run 2% slow.
    const boot_time endsAt = arrivedAt + holdTime * 102 / 100;
    const uint64_t fence = fenceOnConnection(grant.fence, grant.connection);
    if (upstream.startedAt != startedAt || !upstream.isUp || endsAt <= m_now) {
        return false;
    }
    for (const size_t cell : cellsOf(grant.keys)) {
        if (fence < upstream.cells[cell].highestFence) {
            return false;
        }
    }
    for (const size_t cell : cellsOf(grant.keys)) {
        cell_hold &hold = upstream.cells[cell];
        const bool isTaken = m_now >= hold.endsAt || hold.fence != fence;
        const uint64_t highest = highestFenceElsewhere(cell, idOf(index, startedAt));
        if (isTaken && highest >= fence) {
            fail(absl::StrCat("cell ", cell, " is taken by ", toString(idOf(index, startedAt)),
                              " with fence ", fence, ", not above ", highest));
        }
        hold.fence = hold.highestFence = fence;
        hold.endsAt = std::max(hold.endsAt, endsAt);
        uint64_t &own = m_highestFences[cell][idOf(index, startedAt)];
        own = std::max(own, fence);
    }
    return true;
}

uint64_t restore_simulation::highestFenceElsewhere(size_t cell, const upstream_id &holder) const
{
    uint64_t highest = 0;
    for (const auto &[other, fence] : m_highestFences[cell]) {
        highest = other == holder ? highest : std::max(highest, fence);
    }
    return highest;
}

void restore_simulation::release(size_t index, key_interval keys, uint64_t fence)
{
    for (const size_t cell : cellsOf(keys)) {
        cell_hold &hold = m_upstreams[index].cells[cell];
        if (hold.fence <= fence) {
            hold.endsAt = std::min(hold.endsAt, m_now);
        }
    }
}

void restore_simulation::keepCopy()
{
    m_copies.push_back(m_content);
    if (m_copies.size() > 90) {
        m_copies.pop_front();
    }
}

void restore_simulation::restore()
{
    const size_t age = std::min<size_t>(between(2, 89), m_copies.size() - 1);
    m_content = m_copies[m_copies.size() - 1 - age];
    m_copies.clear();
    m_copies.push_back(m_content);
    ++m_epoch;
    note(absl::StrCat("restore from ", age, " ticks ago, epoch ", m_epoch));
}

bool restore_simulation::isStoreReachable(const simulated_daemon &daemon) const
{
    return m_now >= m_storeDownUntil && m_now >= daemon.cutFromStoreUntil;
}

void restore_simulation::read(simulated_daemon &daemon,
                              std::function<void(std::optional<observation>)> done)
{
    after(milliseconds(between(1, 4) * 10),
          [this, &daemon, done = std::move(done), generation = daemon.generation] {
              std::optional<observation> seen;
              if (isStoreReachable(daemon) && !percent(isStoreFailing() ? 50 : 4)) {
                  seen = observation{storeEpoch(), m_content};
              }
              const milliseconds delay(percent(5) ? between(200, 1500) : between(1, 4) * 10);
              after(delay, [&daemon, done, seen, generation] {
                  if (daemon.generation == generation && daemon.isUp) {
                      done(seen);
                  }
              });
          });
}

bool restore_simulation::applyWrite(const placement_write &write)
{
    store_record &record = m_content.records[write.epoch];
    if (record.revision != revisionOf(write.expectedVersion)) {
        return false;
    }
    record = {++m_content.revision, write.placement};
    return true;
}

void restore_simulation::write(simulated_daemon &daemon, const placement_write &write,
                               std::function<void(write_result)> done)
{
    daemon.isWritePending = true;
    const boot_time sentAt = m_now;
    if (write.expectedVersion != 0 && epochOf(write.expectedVersion) < daemon.epoch) {
        finishWrite(daemon, write, absl::AbortedError("epoch"), sentAt, std::move(done));
        return;
    }
    after(milliseconds(between(1, 4) * 10),
          [this, &daemon, write, sentAt, done = std::move(done), generation = daemon.generation] {
              absl::Status status = absl::OkStatus();
              if (!isStoreReachable(daemon) || percent(isStoreFailing() ? 60 : 8)) {
                  status = absl::UnknownError("no response");
                  const int64_t fate = between(0, 2);
                  if (fate == 1 && isStoreReachable(daemon)) {
                      applyWrite(write);
                  } else if (fate == 2) {
                      if (daemon.isUp && daemon.generation == generation && percent(30)
                          && m_now < startTime + disruptionsEnd) {
                          killDaemon(daemon);
                      }
                      // The call was held up and is executed once the store is back.
                      after(milliseconds(between(50, 4000)), [this, write] { applyWrite(write); });
                  }
              } else if (!applyWrite(write)) {
                  status = absl::AbortedError("conflict");
              }
              const observation left{storeEpoch(), m_content};
              after(milliseconds(between(1, 4) * 10),
                    [this, &daemon, write, sentAt, done, generation, status, left] {
                        if (daemon.generation != generation || !daemon.isUp) {
                            return;
                        }
                        if (status.ok() && left.epoch >= daemon.epoch) {
                            onWritten(daemon, write, status, left, sentAt, done);
                        } else {
                            const absl::Status seen =
                                status.ok() ? absl::UnknownError("late") : status;
                            finishWrite(daemon, write, seen, sentAt, done);
                        }
                    });
          });
}

void restore_simulation::finishWrite(simulated_daemon &daemon, const placement_write &write,
                                     const absl::Status &status, boot_time sentAt,
                                     std::function<void(write_result)> done)
{
    if (m_setup.usesWriter && !daemon.isOld && !daemon.move && absl::IsAborted(status)) {
        // An update that ends at a conflict reads nothing.
        onWritten(daemon, write, status, std::nullopt, sentAt, done);
        return;
    }
    read(daemon,
         [this, &daemon, write, status, sentAt,
          done = std::move(done)](const std::optional<observation> &seen) {
             onWritten(daemon, write, status, seen, sentAt, done);
         });
}

void restore_simulation::onWritten(simulated_daemon &daemon, const placement_write &write,
                                   const absl::Status &status,
                                   const std::optional<observation> &seen, boot_time sentAt,
                                   const std::function<void(write_result)> &done)
{
    daemon.isWritePending = false;
    absl::StatusOr<stored_object> readBack = absl::UnavailableError("no response");
    if (seen && seen->epoch >= daemon.epoch) {
        const auto record = seen->content.records.find(write.epoch);
        if (record != seen->content.records.end() && record->second.revision > 0) {
            readBack = stored_object{"", makeVersion(seen->epoch, record->second.revision), false,
                                     encodePlacement(record->second.placement)};
        } else {
            readBack = absl::NotFoundError("no record");
        }
    }
    const write_result result = classifyWrite(status, write, readBack);
    note(absl::StrCat("daemon ", daemon.index, " write ", toAbsl(write.reason), " ",
                      toAbsl(toString(result))));
    if (result != write_result::Written) {
        daemon.nextWriteAt = m_now + 300ms;
    }
    if (seen) {
        observe(daemon, *seen, sentAt);
    }
    done(result);
}

void restore_simulation::scheduleDisruptions()
{
    const auto at = [this](std::function<void()> action) {
        m_events.emplace(startTime + milliseconds(between(4000, disruptionsEnd.count())),
                         std::move(action));
    };
    const int64_t restores = between(1, 3);
    for (int64_t i = 0; i < restores; ++i) {
        at([this] {
            const milliseconds failingFor(between(0, 1500));
            const milliseconds downFor(percent(30) ? 0 : between(0, 3000));
            m_storeFailingUntil = m_now + failingFor;
            after(failingFor, [this, downFor] {
                m_storeDownUntil = m_now + downFor;
                after(downFor, [this] { restore(); });
            });
        });
    }
    const int64_t others = between(2, 8);
    for (int64_t i = 0; i < others; ++i) {
        simulated_daemon &daemon = m_daemons[between(0, daemonCount - 1)];
        switch (between(0, 3)) {
        case 0:
            at([this, &daemon] {
                daemon.cutFromStoreUntil = m_now + milliseconds(between(500, 15000));
                note(absl::StrCat("daemon ", daemon.index, " is cut from the store"));
            });
            break;
        case 1:
            at([this, &daemon] {
                daemon.unreachableSince = m_now;
                daemon.cutFromPeersUntil = m_now + milliseconds(between(1000, 15000));
                note(absl::StrCat("daemon ", daemon.index, " is cut from its peers"));
            });
            break;
        case 2:
            at([this, &daemon] { restartDaemon(daemon); });
            break;
        default:
            at([this, &daemon] { crashUpstream(daemon); });
        }
    }
}

void restore_simulation::restartDaemon(simulated_daemon &daemon)
{
    if (!daemon.isUp) {
        return;
    }
    stopDaemon(daemon, percent(60));
    after(milliseconds(between(200, 12000)), [this, &daemon] {
        startDaemon(daemon);
        note(absl::StrCat("daemon ", daemon.index, " starts"));
    });
}

void restore_simulation::killDaemon(simulated_daemon &daemon)
{
    stopDaemon(daemon, false);
    after(milliseconds(between(200, 1000)), [this, &daemon] {
        startDaemon(daemon);
        note(absl::StrCat("daemon ", daemon.index, " starts"));
    });
}

void restore_simulation::crashUpstream(simulated_daemon &daemon)
{
    simulated_upstream &upstream = m_upstreams[daemon.index];
    if (!upstream.isUp) {
        return;
    }
    const int64_t startedAt = upstream.startedAt + 1;
    upstream = {};
    upstream.startedAt = startedAt;
    upstream.isUp = false;
    upstream.isDark = percent(50);
    note(absl::StrCat("upstream ", daemon.index, " crashes"));
    after(milliseconds(percent(50) ? between(0, 300) : between(300, 3000)),
          [this, &upstream, index = daemon.index] {
              upstream.isUp = true;
              upstream.nextHeartbeatAt = m_now + milliseconds(between(0, 900));
              note(absl::StrCat("upstream ", index, " starts"));
          });
}

} // namespace persimmonrail
