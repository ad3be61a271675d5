#include "persimmonrail/ownership/ownership_engine.h"

#include "persimmonrail/ownership/engine_state.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace persimmonrail {

ownership_engine::state::state(instance_id self, ownership_hooks hooks, serving_table &table,
                               lease_timing timing, write_rate_limiter::limits limits,
                               uint64_t seed)
    : m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_table(table)
    , m_timing(timing)
    , m_witness(m_self, timing)
    , m_writeLimiter(limits, seed)
    , m_evidence(timing)
    , m_random(seed + 1)
{ }

void ownership_engine::state::tick(steady_time now)
{
    m_startedAt = m_startedAt.value_or(now);
    updateLeases(now);
    sendHeartbeats(now);
    sendNotices(now);
    updateRecords(now);
    recoverPartitions(now);
    deliverLocalMessages(now);
}

void ownership_engine::state::onView(std::shared_ptr<const fleet_view> view, steady_time now)
{
    if (view->revision < m_view->revision) {
        return;
    }
    const auto previous = std::exchange(m_view, std::move(view));
    for (const auto &[partition, record] : m_view->records) {
        // The previous view contained every record up to its own revision.
        if (record.version <= previous->revision) {
            continue;
        }
        const auto &content = record.record;
        const auto witnesses = allWitnesses(content);
        if (std::find(witnesses.begin(), witnesses.end(), m_self) != witnesses.end()) {
            m_witness.startNotices(partition, now);
        }
        if (content.owner.name == m_self.name || standbyPosition(content)) {
            const auto [it, isNew] = m_leases.try_emplace(partition);
            if (isNew) {
                it->second.latest = record;
            }
        }
    }
    for (auto &[partition, lease] : m_leases) {
        const auto it = m_view->records.find(partition);
        if (it != m_view->records.end()) {
            adoptRecord(lease, it->second, now);
        } else if (lease.latest.version <= m_view->revision) {
            applyRecordDeletion(lease, now);
        }
    }
    for (const auto &[service, document] : m_view->documents) {
        m_evidence.onDocument(*document, now);
    }
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        const auto &lease = it->second;
        const auto &record = lease.latest.record;
        const bool isRelevant =
            record.owner.name == m_self.name || standbyPosition(record) || isAbandoned(record);
        if (!isRelevant && lease.phase == lease_phase::Idle && !lease.isWritePending) {
            it = m_leases.erase(it);
        } else {
            ++it;
        }
    }
    deliverLocalMessages(now);
}

wire::Reply ownership_engine::state::onRequest(const wire::Request &request, steady_time now)
{
    wire::Reply reply;
    reply.mutable_sender()->set_name(m_self.name);
    reply.mutable_sender()->set_incarnation(m_self.incarnation);
    const instance_id sender{request.sender().name(), request.sender().incarnation()};
    switch (request.body_case()) {
    case wire::Request::kHeartbeat:
        *reply.mutable_heartbeat() = m_witness.onHeartbeat(sender, request.heartbeat(), now);
        break;
    case wire::Request::kClaim:
        *reply.mutable_claim() = m_witness.onClaim(sender, request.claim(), now);
        break;
    case wire::Request::kRelease:
        *reply.mutable_release() = m_witness.onRelease(sender, request.release(), now);
        break;
    case wire::Request::kExpiryNotice:
        onNotice(sender, request.expiry_notice(), now);
        reply.mutable_expiry_notice();
        break;
    default:
        reply.mutable_error()->set_message("the request is not an ownership message");
        break;
    }
    return reply;
}

void ownership_engine::state::setUpstreamUp(bool isUp, steady_time now)
{
    if (m_isUpstreamUp == isUp) {
        return;
    }
    m_isUpstreamUp = isUp;
    for (auto &[partition, lease] : m_leases) {
        lease.nextClaimAt.reset();
        if (!isUp) {
            stepDown(lease, "upstream down", now);
            if (lease.phase == lease_phase::Releasing) {
                finishRelease(lease, now);
            }
        }
    }
    deliverLocalMessages(now);
}

void ownership_engine::state::startShutdown(steady_time now)
{
    m_isShuttingDown = true;
    for (auto &[partition, lease] : m_leases) {
        if (lease.phase == lease_phase::Claiming) {
            stepDown(lease, "shutdown", now);
        }
    }
    updateRecords(now);
    deliverLocalMessages(now);
}

bool ownership_engine::state::isDrained() const
{
    return std::all_of(m_leases.begin(), m_leases.end(),
                       [](const auto &entry) { return entry.second.phase == lease_phase::Idle; });
}

void ownership_engine::state::send(const instance_id &to, wire::Request request,
                                   milliseconds timeout, ownership_hooks::reply_completion done)
{
    request.mutable_sender()->set_name(m_self.name);
    request.mutable_sender()->set_incarnation(m_self.incarnation);
    if (to == m_self) {
        m_localMessages.push_back({std::move(request), std::move(done)});
        return;
    }
    m_hooks.send(to, std::move(request), timeout,
                 [this, lifetime = std::weak_ptr<int>(m_lifetimeToken),
                  done = std::move(done)](absl::StatusOr<wire::Reply> reply, steady_time now) {
                     if (!lifetime.expired()) {
                         done(std::move(reply), now);
                         deliverLocalMessages(now);
                     }
                 });
}

void ownership_engine::state::deliverLocalMessages(steady_time now)
{
    while (!m_localMessages.empty()) {
        for (auto &delivery : std::exchange(m_localMessages, {})) {
            delivery.done(onRequest(delivery.request, now), now);
        }
    }
}

void ownership_engine::state::log(const lease_state &lease, std::string_view action,
                                  std::string_view reason) const
{
    if (m_hooks.log) {
        const auto &record = lease.latest.record;
        m_hooks.log(
            absl::StrFormat("placement %s partition=%s term=%d record=%d owner=%s reason=%s",
                            std::string(action), record.partition, lease.term, lease.latest.version,
                            toString(record.owner), std::string(reason)));
    }
}

bool ownership_engine::state::isOwner(const lease_state &lease) const
{
    return lease.latest.record.owner == m_self;
}

std::optional<size_t> ownership_engine::state::standbyPosition(const placement_record &record) const
{
    const auto it = std::find(record.standbys.begin(), record.standbys.end(), m_self);
    if (it == record.standbys.end()) {
        return std::nullopt;
    }
    return static_cast<size_t>(it - record.standbys.begin());
}

bool ownership_engine::state::isServing(const lease_state &lease, steady_time now) const
{
    return lease.phase == lease_phase::Holding && now < lease.leaseEnd;
}

size_t ownership_engine::state::inFlight(const lease_state &lease) const
{
    const auto &partition = lease.latest.record.partition;
    return m_hooks.inFlight ? m_hooks.inFlight(partition) : m_table.inFlight(partition);
}

lease_state *ownership_engine::state::findLease(const std::string &partition)
{
    const auto it = m_leases.find(partition);
    return it == m_leases.end() ? nullptr : &it->second;
}

lease_state *ownership_engine::state::findCurrent(const sent_lease &sent)
{
    auto *lease = findLease(sent.partition);
    return lease != nullptr && lease->generation == sent.generation ? lease : nullptr;
}

milliseconds ownership_engine::state::randomDelay(milliseconds minDelay, milliseconds maxDelay)
{
    std::uniform_int_distribution<milliseconds::rep> distribution(minDelay.count(),
                                                                  maxDelay.count());
    return milliseconds(distribution(m_random));
}

wire::PartitionLease ownership_engine::state::makeLeaseMessage(const lease_state &lease,
                                                               uint64_t term) const
{
    wire::PartitionLease message;
    message.set_partition(lease.latest.record.partition);
    message.set_record_version(lease.latest.version);
    message.set_term(term);
    return message;
}

ownership_engine::ownership_engine(std::unique_ptr<state> state)
    : m_state(std::move(state))
{ }

ownership_engine::ownership_engine(ownership_engine &&other) noexcept = default;
ownership_engine &ownership_engine::operator=(ownership_engine &&other) noexcept = default;
ownership_engine::~ownership_engine() = default;

void ownership_engine::tick(steady_time now)
{
    m_state->tick(now);
}

void ownership_engine::onView(std::shared_ptr<const fleet_view> view, steady_time now)
{
    m_state->onView(std::move(view), now);
}

wire::Reply ownership_engine::onRequest(const wire::Request &request, steady_time now)
{
    return m_state->onRequest(request, now);
}

void ownership_engine::onUpstreamUp(steady_time now)
{
    m_state->setUpstreamUp(true, now);
}

void ownership_engine::onUpstreamDown(steady_time now)
{
    m_state->setUpstreamUp(false, now);
}

void ownership_engine::startShutdown(steady_time now)
{
    m_state->startShutdown(now);
}

bool ownership_engine::isDrained() const
{
    return m_state->isDrained();
}

ownership_engine::builder &ownership_engine::builder::self(instance_id self)
{
    m_self = std::move(self);
    return *this;
}

ownership_engine::builder &ownership_engine::builder::hooks(ownership_hooks hooks)
{
    m_hooks = std::move(hooks);
    return *this;
}

ownership_engine::builder &ownership_engine::builder::servingTable(serving_table &table)
{
    m_table = &table;
    return *this;
}

ownership_engine::builder &ownership_engine::builder::timing(lease_timing timing)
{
    m_timing = timing;
    return *this;
}

ownership_engine::builder &ownership_engine::builder::writeLimits(write_rate_limiter::limits limits)
{
    m_limits = limits;
    return *this;
}

ownership_engine::builder &ownership_engine::builder::seed(uint64_t seed)
{
    m_seed = seed;
    return *this;
}

ownership_engine ownership_engine::builder::build()
{
    assert(!m_self.isNull() && m_table != nullptr && m_hooks.send && m_hooks.putRecord
           && m_hooks.getRecord && m_hooks.applyGrants);
    return ownership_engine(
        std::make_unique<state>(m_self, std::move(m_hooks), *m_table, m_timing, m_limits, m_seed));
}

} // namespace persimmonrail
