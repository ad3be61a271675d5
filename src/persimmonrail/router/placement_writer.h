#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/keyspace/placement_batch.h"
#include "persimmonrail/router/placement_update.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Path of the peer port on which a daemon issues tickets (GET) and takes changes (POST).
inline constexpr char placementChangesPath[] = "/v1/placement-changes";

// Time after the issue of a ticket for which the writer may compute a record with the changes that
// were sent with it. It limits how long a change can take effect after the end of the process that
// sent it, so a daemon that starts waits for as long before it reads which fences are recorded.
inline constexpr milliseconds changeLifetime{300};

// A change that waits at the writer.
struct queued_change
{
    owner_change change;
    // Time of the boot clock up to which a record may be computed with the change.
    boot_time expiresAt{};
};

// Result of writeChanges().
struct batch_result
{
    // One for each change, in the same order.
    std::vector<change_response> responses;
    placement_update_result update;
};

// Writes the changes together to the record of `service`, beginning with the record `base`. Before
// each try, expired changes and those of another epoch are left out. A change whose outcome is not
// Unknown can't take effect later. Blocks for little longer than until `deadline`.
batch_result writeChanges(const object_api &store, const std::string &service,
                          const fleet_directory::versioned_placement &base,
                          const std::vector<queued_change> &changes, boot_time deadline,
                          const placement_update_hooks &hooks);

struct placement_writer_options
{
    // Changes beyond this number are not taken.
    size_t maxQueued = 128;
    // Time for which the changes of several owners are gathered before they are written, if the
    // last batch is at least batchInterval ago.
    milliseconds gatherTime{20};
    // Least time between the beginnings of two batches, so that a service's moves cost 10 writes a
    // second at most. Each version of the record is sent to all relays and decoded by every daemon.
    // Less than half of changeLifetime, so that a change that arrives right after the beginning of
    // a batch still has time for a conflict.
    milliseconds batchInterval{100};
    // Longest time for which submit() waits for the outcome of a change. Less than the `timeout` of
    // placement_writer_client_options, so that the response arrives in time.
    milliseconds maxWait{250};
};

// Hooks of placement_writer. All must be thread safe.
struct placement_writer_hooks
{
    // Returns the newest known record of the present epoch; nothing if none is known.
    std::function<std::optional<fleet_directory::versioned_placement>()> record;
    // Called with each record that was written or read.
    std::function<void(const stored_object &object)> onObject;
    // Called after each batch of so many changes.
    std::function<void(size_t changes, const placement_update_result &result)> onBatch;
    placement_update_hooks update;
};

// Writes the changes that the owners of a service pass to this daemon, those of several owners with
// one write. Any daemon may be asked, and several may write at the same time: the conditional
// writes decide. Thread safe.
class placement_writer
{
public:
    // `run` differs between the processes of this daemon.
    placement_writer(std::string service, uint64_t run, object_api store,
                     placement_writer_hooks hooks, placement_writer_options options = {});
    placement_writer(const placement_writer &) = delete;
    placement_writer &operator=(const placement_writer &) = delete;
    ~placement_writer();

    writer_ticket issueTicket() const;
    // Takes a change, and waits until it is written or `maxWait` has passed.
    change_response submit(const change_request &request);
    // Returns the number of changes that wait for the next batch.
    size_t queuedChanges() const;

private:
    // A change that a thread in submit() waits for.
    struct pending_change
    {
        queued_change queued;
        bool isTaken = false;
        std::optional<change_response> response;
    };
    using pending_list = std::list<std::shared_ptr<pending_change>>;

    // Returns when the change expires; nothing if it can't be taken.
    std::optional<boot_time> expiryOf(const change_request &request) const;
    // Returns for how long to gather changes before the next batch. Must be called on the worker.
    milliseconds gatherTime() const;
    void writeBatch();
    // Returns the newer one of the record that is known from the store's changes and the one that
    // was written last. Must be called on the worker.
    std::optional<fleet_directory::versioned_placement> newestRecord();

    const std::string m_service;
    const uint64_t m_run;
    const object_api m_store;
    const placement_writer_hooks m_hooks;
    const placement_writer_options m_options;
    // Used only by the worker.
    std::optional<fleet_directory::versioned_placement> m_lastWritten;
    std::optional<boot_time> m_lastBatchAt;
    mutable std::mutex m_mutex;
    std::condition_variable m_responded;
    pending_list m_queue;
    bool m_isBatchDue = false;
    bool m_isStopping = false;
    // Declared last, because its thread uses the members above.
    background_worker m_worker;
};

// Serves one request to placementChangesPath. Returns the body of the response; InvalidArgument if
// the request is malformed.
absl::StatusOr<std::string> servePlacementChange(placement_writer &writer, std::string_view method,
                                                 std::string_view body);

} // namespace persimmonrail
