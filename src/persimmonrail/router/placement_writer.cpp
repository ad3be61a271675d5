#include "persimmonrail/router/placement_writer.h"

#include <algorithm>
#include <utility>

namespace persimmonrail {
namespace {

// Returns the outcome of the changes that the last try contained.
change_outcome outcomeOf(write_result result)
{
    switch (result) {
    case write_result::Written:
    case write_result::Unneeded:
        return change_outcome::Recorded;
    case write_result::Superseded:
    case write_result::NotApplied:
        return change_outcome::NotApplied;
    case write_result::Unconfirmed:
    case write_result::EpochEnded:
        return change_outcome::Unknown;
    }
    return change_outcome::Unknown;
}

} // namespace

batch_result writeChanges(const object_api &store, const std::string &service,
                          const fleet_directory::versioned_placement &base,
                          const std::vector<queued_change> &changes, boot_time deadline,
                          const placement_update_hooks &hooks)
{
    // Whether the last try contained the change, or its record needed no such change.
    std::vector<bool> isIncluded(changes.size());
    const auto change = [&](const key_placement &current) -> std::optional<key_placement> {
        std::vector<owner_change> due;
        // The record was read before this moment. A daemon that starts reads it later than all
        // changes of the process before have expired, and grants keys only after a further change
        // of the record. So it does not matter how late the write arrives.
        const boot_time now = hooks.now();
        for (size_t i = 0; i < changes.size(); ++i) {
            const bool isDue = now < changes[i].expiresAt && changes[i].change.epoch == base.epoch;
            isIncluded[i] = isDue || isSettled(current, changes[i].change);
            if (isDue) {
                due.push_back(changes[i].change);
            }
        }
        return applyChanges(current, base.epoch, due);
    };
    batch_result result;
    result.update =
        updatePlacement(store, service, base, {change, "placement-writer", deadline}, hooks);
    const change_outcome outcome = outcomeOf(result.update.result);
    const uint64_t version = result.update.object ? result.update.object->version : base.version;
    for (size_t i = 0; i < changes.size(); ++i) {
        const bool isRecorded = isIncluded[i] && outcome == change_outcome::Recorded;
        result.responses.push_back(
            {isIncluded[i] ? outcome : change_outcome::NotApplied, isRecorded ? version : 0});
    }
    return result;
}

placement_writer::placement_writer(std::string service, uint64_t run, object_api store,
                                   placement_writer_hooks hooks, placement_writer_options options)
    : m_service(std::move(service))
    , m_run(run)
    , m_store(std::move(store))
    , m_hooks(std::move(hooks))
    , m_options(options)
{ }

placement_writer::~placement_writer()
{
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
    m_responded.notify_all();
}

writer_ticket placement_writer::issueTicket() const
{
    return {m_run, std::chrono::duration_cast<milliseconds>(m_hooks.update.now())};
}

size_t placement_writer::queuedChanges() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.size();
}

std::optional<boot_time> placement_writer::expiryOf(const change_request &request) const
{
    const boot_time now = m_hooks.update.now();
    const boot_time issuedAt = request.ticket.issuedAt;
    const bool isOwnTicket = request.ticket.run == m_run && issuedAt <= now;
    if (request.service != m_service || !isOwnTicket || now >= issuedAt + changeLifetime) {
        return std::nullopt;
    }
    return issuedAt + changeLifetime;
}

change_response placement_writer::submit(const change_request &request)
{
    const auto expiresAt = expiryOf(request);
    if (!expiresAt) {
        return {change_outcome::NotApplied, 0};
    }
    const auto pending = std::make_shared<pending_change>(
        pending_change{{request.change, *expiresAt}, false, std::nullopt});
    std::unique_lock lock(m_mutex);
    if (m_queue.size() >= m_options.maxQueued || m_isStopping) {
        return {change_outcome::NotApplied, 0};
    }
    m_queue.push_back(pending);
    if (!m_isBatchDue) {
        m_isBatchDue = true;
        m_worker.enqueue([this] { writeBatch(); });
    }
    m_responded.wait_for(lock, m_options.maxWait,
                         [&] { return pending->response.has_value() || m_isStopping; });
    m_queue.remove(pending);
    if (pending->response) {
        return *pending->response;
    }
    return {pending->isTaken ? change_outcome::Unknown : change_outcome::NotApplied, 0};
}

milliseconds placement_writer::gatherTime() const
{
    if (!m_lastBatchAt) {
        return m_options.gatherTime;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(
        *m_lastBatchAt + m_options.batchInterval - m_hooks.update.now());
    return std::clamp(left, m_options.gatherTime,
                      std::max(m_options.batchInterval, m_options.gatherTime));
}

void placement_writer::writeBatch()
{
    const milliseconds gathered = gatherTime();
    m_hooks.update.pause(gathered);
    std::vector<queued_change> changes;
    pending_list taken;
    {
        const std::lock_guard lock(m_mutex);
        m_isBatchDue = false;
        for (const auto &pending : m_queue) {
            pending->isTaken = true;
            changes.push_back(pending->queued);
        }
        taken = m_queue;
    }
    if (changes.empty()) {
        return;
    }
    const auto base = newestRecord();
    batch_result result;
    result.responses.resize(changes.size(), {change_outcome::NotApplied, 0});
    m_lastBatchAt = m_hooks.update.now();
    if (base) {
        // The owner of the first change has already waited while changes were gathered.
        const boot_time deadline = *m_lastBatchAt + m_options.maxWait - gathered;
        result = writeChanges(m_store, m_service, *base, changes, deadline, m_hooks.update);
    }
    if (result.update.object) {
        const auto placement = parsePlacement(result.update.object->value);
        if (placement.ok()) {
            m_lastWritten = fleet_directory::versioned_placement{
                *placement, result.update.object->version, base->epoch};
        }
        m_hooks.onObject(*result.update.object);
    }
    m_hooks.onBatch(changes.size(), result.update);
    const std::lock_guard lock(m_mutex);
    size_t index = 0;
    for (const auto &pending : taken) {
        pending->response = result.responses[index++];
        m_queue.remove(pending);
    }
    m_responded.notify_all();
}

std::optional<fleet_directory::versioned_placement> placement_writer::newestRecord()
{
    auto known = m_hooks.record();
    const bool isWrittenNewer = known && m_lastWritten && m_lastWritten->epoch == known->epoch
        && m_lastWritten->version > known->version;
    return isWrittenNewer ? m_lastWritten : known;
}

absl::StatusOr<std::string> servePlacementChange(placement_writer &writer, std::string_view method,
                                                 std::string_view body)
{
    if (method == "GET") {
        return encodeTicket(writer.issueTicket());
    }
    const auto request = parseChangeRequest(body);
    if (!request.ok()) {
        return request.status();
    }
    return encodeChangeResponse(writer.submit(*request));
}

} // namespace persimmonrail
