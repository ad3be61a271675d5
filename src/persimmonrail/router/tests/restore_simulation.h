// Simulates the ownership of keys while the store is restored from older copies and while upstreams
// and daemons crash: daemons, upstreams that keep grants, a store that executes writes late, and
// the time are all simulated. The decisions are those of range_lease_manager, placement_proposal,
// range_plan, placement_batch and placement_write; the simulated daemon does what range_controller
// and placement_writer do with them.
#pragma once

#include "persimmonrail/keyspace/placement_batch.h"
#include "persimmonrail/keyspace/placement_proposal.h"
#include "persimmonrail/objects/object_version.h"
#include "persimmonrail/router/placement_write.h"
#include "persimmonrail/router/placement_writer.h"
#include "persimmonrail/router/submitted_update.h"

#include <absl/strings/str_join.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmonrail {

inline constexpr size_t daemonCount = 4;
// Upstreams keep account of one key in each cell, the first, instead of all keys.
inline constexpr size_t cellCount = 16;
inline constexpr boot_time startTime = std::chrono::seconds(1000);
inline constexpr shard_key cellSize = (lastKey + 1) / cellCount;
inline constexpr milliseconds tickInterval{100};
inline constexpr milliseconds readInterval{500};
inline constexpr milliseconds disruptionsEnd{40000};
// Longest time after the last disruption until all keys have a holder: the detection of an
// unreachable owner, two takeovers in a row and the calls to the store.
inline constexpr milliseconds recoveryTime{28000};
// Moves, during which keys have no holder, end before the check that all keys have one.
inline constexpr milliseconds movesEnd = disruptionsEnd + recoveryTime - std::chrono::seconds(3);
inline constexpr milliseconds maxHoldTime{10000};
inline constexpr milliseconds unconfirmedWriteTimeout{7000};

// Parts of the protocol that a test leaves out, to see that the simulation detects it.
struct disabled_mechanisms
{
    // The store's epoch is ignored, as before it was known.
    bool epochs = false;
    // The record of a new epoch is in force at once.
    bool carriedOverDelay = false;
    // The fences of an epoch go on from the restored record.
    bool fencesOfEpoch = false;
    // A daemon keeps keys whose move may have been recorded before the restore.
    bool abandonMoves = false;
    // The record of a new epoch keeps the previous owners of pending takeovers, who may reclaim.
    bool unknownPreviousOwner = false;
    // Grants on a new connection have the fence of those on the one before.
    bool connectionFences = false;
    // The end of an incarnation is published before its keys are released.
    bool releaseEnded = false;
    // The end of an incarnation is published while a write of its daemon is under way.
    bool pendingWrites = false;
    // Releases do not supersede the grants that have no response.
    bool supersedeEnded = false;
    // A daemon that starts grants keys under the fences that it finds recorded.
    bool fencesOfStart = false;
    // A daemon that starts takes the first heartbeat for that of the running incarnation.
    bool lateHeartbeats = false;
    // A writer applies changes of any age, and a daemon that starts does not wait for their end.
    bool changeLifetime = false;
    // An owner takes keys back under their old fence although a writer may still move them.
    bool withdrawnFences = false;
    // An owner ends a move that a writer has recorded before it knows the record.
    bool awaitedRecords = false;
};

// Which daemons differ from those of the present release with default settings.
struct simulated_setup
{
    bool areSomeOld = false;
    // Owners pass their moves to another daemon first.
    bool usesWriter = false;
};

struct store_record
{
    uint64_t revision = 0;
    key_placement placement;
};

struct store_content
{
    uint64_t revision = 1;
    // By the epoch of the record.
    std::map<uint64_t, store_record> records;
    // Start time of the newest known incarnation of each upstream.
    std::array<int64_t, daemonCount> startedAt{};
    // Start time of an incarnation that was published as ended without a newer one; 0 for none.
    std::array<int64_t, daemonCount> endedAt{};
};

struct cell_hold
{
    uint64_t fence = 0;
    uint64_t highestFence = 0;
    boot_time endsAt{};
};

struct simulated_upstream
{
    int64_t startedAt = 1;
    // Down from a crash until the next incarnation starts.
    bool isUp = true;
    // Whether calls to the address get no response while the upstream is down, instead of being
    // refused.
    bool isDark = false;
    boot_time nextHeartbeatAt{};
    std::array<cell_hold, cellCount> cells;
};

// What a read of the store returned, or what a write left there.
struct observation
{
    uint64_t epoch = baseEpoch;
    store_content content;
};

struct pending_move
{
    key_interval keys;
    // As recorded.
    uint64_t fence = 0;
    upstream_id target;
    uint64_t epoch = 0;
    bool isUnconfirmed = false;
    boot_time expiresAt{};
    // Whether a writer may still apply the move.
    bool isOpen = false;
    bool isWithdrawing = false;
    // Whether the owner waits for the response of a writer.
    bool isSubmitted = false;
    // Until when the owner waits to learn of the record that a writer has reported.
    std::optional<boot_time> awaitedUntil = {};
    upstream_id owner = {};
};

struct simulated_daemon
{
    size_t index = 0;
    // Whether it runs the code before a change of the record by any daemon counted for all: it
    // grants keys only with recorded fences, of its own writes after its start.
    bool isOld = false;
    // Increases with each start; responses to earlier incarnations are dropped.
    int generation = 0;
    bool isUp = true;
    boot_time cutFromStoreUntil{};
    boot_time cutFromPeersUntil{};
    boot_time unreachableSince{};
    std::unique_ptr<range_lease_manager> leases;
    uint64_t epoch = baseEpoch;
    std::optional<key_placement> record;
    uint64_t recordEpoch = baseEpoch;
    uint64_t recordVersion = 0;
    std::array<int64_t, daemonCount> startedAt{};
    std::array<int64_t, daemonCount> endedAt{};
    // Start time of the incarnation of the local upstream that heartbeats have shown; 0 for none.
    int64_t knownStart = 0;
    // Whether a refused connection has shown that the known incarnation has ended.
    bool isUpstreamAbsent = false;
    // The incarnation at which the connection for grants ends, and the connection's number.
    int64_t connectedTo = 0;
    uint32_t connection = 0;
    // Incarnations whose keys are being released, and those whose keys were released.
    std::set<int64_t> releasing;
    std::set<int64_t> released;
    bool isWritePending = false;
    boot_time nextWriteAt{};
    boot_time lastReadAt{};
    boot_time nextMoveAt{};
    std::optional<pending_move> move;
};

class restore_simulation
{
public:
    restore_simulation(uint64_t seed, disabled_mechanisms disabled, simulated_setup setup = {});

    // Returns the first violation, or an empty string.
    std::string run();
    std::string log() const { return absl::StrJoin(m_log, "\n"); }

private:
    // Returns the cells whose first keys are in the interval.
    static std::vector<size_t> cellsOf(key_interval keys);
    int64_t between(int64_t low, int64_t high);
    bool percent(int64_t chance) { return between(0, 99) < chance; }
    void after(milliseconds delay, std::function<void()> action);
    void note(const std::string &line);
    void fail(const std::string &violation);
    static upstream_id idOf(size_t index, int64_t startedAt);
    // Returns the incarnation that the daemon knows.
    upstream_id idOf(size_t index) const { return idOf(index, m_daemons[index].knownStart); }

    // Checks.
    void checkHolders();
    void checkAllHeld();

    // Returns whether the fleet knows each running upstream as present.
    void checkMembers();

    // Upstreams.
    bool applyGrant(size_t index, int64_t startedAt, const range_grant &grant,
                    milliseconds holdTime, boot_time arrivedAt);
    // Returns the highest fence with which any other incarnation held the cell.
    uint64_t highestFenceElsewhere(size_t cell, const upstream_id &holder) const;
    // `fence` is that of the calls: it contains the number of the connection.
    void release(size_t index, key_interval keys, uint64_t fence);

    // Store.
    void keepCopy();
    void restore();
    bool isStoreReachable(const simulated_daemon &daemon) const;
    // Returns whether the store loses many responses, as it does before it goes away.
    bool isStoreFailing() const { return m_now < m_storeFailingUntil; }
    // Runs `done` with the response to a read, or with nothing.
    void read(simulated_daemon &daemon, std::function<void(std::optional<observation>)> done);
    uint64_t storeEpoch() const { return m_disabled.epochs ? baseEpoch : m_epoch; }
    bool applyWrite(const placement_write &write);
    // Sends a write. Runs `done` with the result, after a read of the record if the write failed.
    void write(simulated_daemon &daemon, const placement_write &write,
               std::function<void(write_result)> done);
    void finishWrite(simulated_daemon &daemon, const placement_write &write,
                     const absl::Status &status, boot_time sentAt,
                     std::function<void(write_result)> done);
    void onWritten(simulated_daemon &daemon, const placement_write &write,
                   const absl::Status &status, const std::optional<observation> &seen,
                   boot_time sentAt, const std::function<void(write_result)> &done);

    // Daemons.
    void startDaemon(simulated_daemon &daemon);
    void stopDaemon(simulated_daemon &daemon, bool isGraceful);
    // Takes what the store or a peer showed. `confirmedAt` is empty for what a peer showed.
    void observe(simulated_daemon &daemon, const observation &seen,
                 std::optional<boot_time> confirmedAt);
    void tick(simulated_daemon &daemon);
    // Shows the daemon what a peer knows, as a relay does.
    void relay(simulated_daemon &daemon);
    // Upstreams.
    void heartbeat(simulated_daemon &daemon);
    void onHeartbeat(simulated_daemon &daemon, int64_t startedAt);
    // Publishes the state of the local upstream, once no process holds the keys of those that have
    // ended.
    void publish(simulated_daemon &daemon);
    // Does what range_controller::releaseEnded() does.
    bool isReleased(simulated_daemon &daemon, int64_t ended);
    void releaseEnded(simulated_daemon &daemon, const std::vector<range_grant> &grants);
    static bool needsNewFences(const simulated_daemon &daemon, const upstream_id &owner);
    // Returns whether a daemon with the older code does not know this fence.
    static bool isUnknownFence(const simulated_daemon &daemon, const range_grant &grant);
    void renewFencesOf(simulated_daemon &daemon, const upstream_id &owner);
    // Connects to whichever process listens at the address. Returns whether there is one.
    bool connect(simulated_daemon &daemon);
    void renewGrants(simulated_daemon &daemon);
    void sendGrant(simulated_daemon &daemon, range_grant grant, milliseconds holdTime);
    bool isUnreachable(size_t index) const;
    proposal_input inputOf(const simulated_daemon &daemon) const;
    void propose(simulated_daemon &daemon);
    void disableMechanisms(key_placement &placement, const proposal_input &input) const;
    void considerMove(simulated_daemon &daemon);
    static owner_change changeOf(const simulated_daemon &daemon);
    // Passes the move to another daemon, and goes on without a response.
    void submitMove(simulated_daemon &daemon);
    // Does what placement_writer does: reads the record, applies the change, and writes it.
    void receiveChange(const simulated_daemon &writer, simulated_daemon &owner,
                       const owner_change &change, boot_time issuedAt);
    static bool isSubmitted(const simulated_daemon &daemon, const owner_change &change);
    // Sends the response that the change is recorded to the owner, which may be lost or late.
    void respondRecorded(simulated_daemon &owner, const owner_change &change);
    // Reads the record after the longest wait for it, and goes on with what it lacks.
    void readAwaitedRecord(simulated_daemon &daemon);
    // Ends the move once the known record shows it.
    void checkAwaitedRecord(simulated_daemon &daemon);
    static bool isServing(const simulated_daemon &daemon);
    void endMove(simulated_daemon &daemon);
    void finishMove(simulated_daemon &daemon);
    void onOpenMoveWritten(simulated_daemon &daemon, write_result result);
    void onMoveWritten(simulated_daemon &daemon, write_result result);
    void retryMove(simulated_daemon &daemon);

    // Disruptions.
    void scheduleDisruptions();
    void restartDaemon(simulated_daemon &daemon);
    // Kills the daemon, which starts again at once.
    void killDaemon(simulated_daemon &daemon);
    // The next incarnation sends its first heartbeat up to one period after its start.
    void crashUpstream(simulated_daemon &daemon);

    std::mt19937_64 m_random;
    const disabled_mechanisms m_disabled;
    const simulated_setup m_setup;
    boot_time m_now = startTime;
    std::multimap<boot_time, std::function<void()>> m_events;
    store_content m_content;
    std::deque<store_content> m_copies;
    uint64_t m_epoch = baseEpoch;
    boot_time m_storeFailingUntil{};
    boot_time m_storeDownUntil{};
    std::array<simulated_daemon, daemonCount> m_daemons;
    std::array<simulated_upstream, daemonCount> m_upstreams;
    // Highest fence with which each incarnation of an upstream held the cell.
    std::array<std::map<upstream_id, uint64_t>, cellCount> m_highestFences;
    std::string m_violation;
    std::vector<std::string> m_log;
};

} // namespace persimmonrail
