// The HTTP servers of the daemon, and the hooks that connect these servers to the other components.
#include "persimmonrail/daemon/daemon_state.h"

#include "persimmonrail/daemon/serving_lease_ticket.h"
#include "persimmonrail/routing/route_candidates.h"

#include <ctime>

namespace persimmonrail {
namespace {

// More than the number of daemons in a fleet, each of which may keep a connection open.
constexpr int maxPeerConnections = 10'000;
// The upstream, operators and metrics collectors need only a few connections.
constexpr int maxAdminConnections = 256;

double processCpuSeconds()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

} // namespace

absl::Status daemon::state::startServers()
{
    request_router_options options;
    options.instance = m_self.name;
    m_requestRouter.emplace(options, makeGatewayHooks(), m_upstreamClient, m_log, m_metrics);

    http_server_options server;
    server.address = m_settings.peerAddress;
    server.maxConnections = maxPeerConnections;
    auto peers = peer_server::listen(server, *m_requestRouter);
    if (!peers.ok()) {
        return peers.status();
    }
    m_peerServer = *std::move(peers);
    server.address = m_settings.callerAddress;
    server.maxConnections = m_settings.maxCallerConnections;
    auto callers = caller_server::listen(server, *m_requestRouter);
    if (!callers.ok()) {
        return callers.status();
    }
    m_callerServer = *std::move(callers);
    server.address = m_settings.adminAddress;
    server.maxConnections = maxAdminConnections;
    auto admin = admin_server::listen(server, makeAdminHooks());
    if (!admin.ok()) {
        return admin.status();
    }
    m_adminServer = *std::move(admin);
    return absl::OkStatus();
}

gateway_hooks daemon::state::makeGatewayHooks()
{
    gateway_hooks hooks;
    hooks.view = [this] {
        return m_syncDriver ? m_syncDriver->view() : std::make_shared<const fleet_view>();
    };
    hooks.localLease = [this](std::string_view service, uint64_t hash,
                              steady_time now) -> std::unique_ptr<lease_ticket> {
        auto ticket = m_servingTable.begin(service, hash, now);
        if (!ticket) {
            return nullptr;
        }
        return std::make_unique<serving_lease_ticket>(m_servingTable, *std::move(ticket));
    };
    hooks.candidates = [](const fleet_view &view, std::string_view service, uint64_t hash,
                          std::string_view hintedHolder) {
        std::vector<member_record> members;
        for (const auto *member : routeCandidates(view, service, hash, hintedHolder)) {
            members.push_back(*member);
        }
        return members;
    };
    hooks.pickInstance = [this](const fleet_view &, std::string_view service,
                                const std::vector<instance_id> &tried, steady_time now) {
        return m_instanceDirectory.pick(service, tried, now);
    };
    hooks.onAttemptEnd = [this](std::string_view service, const member_record &member,
                                request_outcome outcome, std::string_view reason,
                                std::chrono::nanoseconds duration, steady_time now) {
        m_instanceDirectory.finish(service, member.id, outcome, reason, duration, now);
    };
    hooks.consumeRetryBudget = [this](bool isRetry, steady_time now) {
        if (isRetry) {
            return m_retryBudget.tryRetry(now);
        }
        m_retryBudget.recordFirstAttempt(now);
        return true;
    };
    hooks.admit = [this](const admission_request &request, steady_time now) {
        return m_admission.admit(request, now);
    };
    hooks.beginAtMostOnce = [this](std::string_view service, std::string_view idempotencyKey,
                                   const lease_ticket &ticket, steady_time now) {
        return beginAtMostOnce(service, idempotencyKey, ticket, now);
    };
    hooks.endAtMostOnce = [this](std::string_view service, std::string_view idempotencyKey,
                                 request_outcome outcome,
                                 const std::shared_ptr<const stored_response> &response) {
        endAtMostOnce(service, idempotencyKey, outcome, response);
    };
    hooks.quarantine = &m_quarantine;
    hooks.rejectsNewRequests = [this](steady_time now) { return rejectsNewWork(now); };
    return hooks;
}

admission_source daemon::state::readAdmissionSource() const
{
    const upstream_status status = m_upstreamClient.status(std::chrono::steady_clock::now());
    admission_source source;
    if (status.announcement) {
        source.slots = status.announcement->slots;
        source.bootId = status.announcement->bootId;
    }
    if (const auto view = m_syncDriver ? m_syncDriver->view() : nullptr) {
        const auto document = view->documents.find(m_settings.service);
        source.document = document == view->documents.end() ? nullptr : document->second;
    }
    return source;
}

at_most_once_verdict daemon::state::beginAtMostOnce(std::string_view service,
                                                    std::string_view idempotencyKey,
                                                    const lease_ticket &ticket, steady_time now)
{
    const auto key = parseIdempotencyKey(idempotencyKey);
    const auto servingSince = m_servingTable.servingSince(ticket.partition(), ticket.term());
    if (!key.ok() || !servingSince) {
        at_most_once_verdict rejection;
        rejection.decision = at_most_once_verdict::action::Reject;
        rejection.outcome = request_outcome::NotRun;
        rejection.reason = key.ok() ? "not-owner" : "invalid-idempotency-key";
        return rejection;
    }
    const wall_time wallNow = std::chrono::system_clock::now();
    const auto servingDuration =
        std::chrono::duration_cast<wall_time::duration>(now - *servingSince);
    return m_atMostOnce.begin(service, *key, wallNow - servingDuration, wallNow);
}

void daemon::state::endAtMostOnce(std::string_view service, std::string_view idempotencyKey,
                                  request_outcome outcome,
                                  const std::shared_ptr<const stored_response> &response)
{
    if (const auto key = parseIdempotencyKey(idempotencyKey); key.ok()) {
        m_atMostOnce.end(service, *key, outcome, response);
    }
}

admin_hooks daemon::state::makeAdminHooks()
{
    addGauges();
    admin_hooks hooks;
    hooks.announce = [this](const upstream_announcement &announcement) {
        if (announcement.service != m_settings.service) {
            return absl::FailedPreconditionError(
                "the announced service is not the service of this daemon");
        }
        return m_upstreamClient.announce(announcement, std::chrono::steady_clock::now());
    };
    hooks.renderMetrics = [this] { return m_metrics.renderText(); };
    hooks.notReadyReason = [this] { return notReadyReason(); };
    hooks.explain = [this](const std::string &service, const std::string &key) {
        return m_requestRouter->explain(service, key, std::chrono::steady_clock::now());
    };
    hooks.state = [this] { return describeState(); };
    return hooks;
}

void daemon::state::addGauges()
{
    m_metrics.addGauge("persimmonrail_process_cpu_seconds", processCpuSeconds);
    m_metrics.addGauge("persimmonrail_ready", [this] { return notReadyReason().empty() ? 1 : 0; });
    m_metrics.addGauge("persimmonrail_admission_limit", [this] { return m_admission.limit(); });
    m_metrics.addGauge("persimmonrail_admission_running", [this] { return m_admission.running(); });
    m_metrics.addGauge("persimmonrail_relay", [this] { return m_syncDriver->isRelay() ? 1 : 0; });
    m_metrics.addGauge("persimmonrail_state_revision", [this] { return m_syncDriver->revision(); });
    m_metrics.addGauge("persimmonrail_control_sent_bytes",
                       [this] { return m_messenger->traffic().bytesSent.load(); });
    m_metrics.addGauge("persimmonrail_control_received_bytes",
                       [this] { return m_messenger->traffic().bytesReceived.load(); });
    m_metrics.addGauge("persimmonrail_control_sent_messages",
                       [this] { return m_messenger->traffic().messagesSent.load(); });
    m_metrics.addGauge("persimmonrail_control_received_messages",
                       [this] { return m_messenger->traffic().messagesReceived.load(); });
    m_metrics.addGauge("persimmonrail_quarantine_entries", [this] { return m_quarantine.size(); });
    m_metrics.addGauge("persimmonrail_platform_reads",
                       [this] { return m_platformWorker->readCount(); });
    m_metrics.addGauge("persimmonrail_platform_writes",
                       [this] { return m_platformWorker->writeCount(); });
}

} // namespace persimmonrail
