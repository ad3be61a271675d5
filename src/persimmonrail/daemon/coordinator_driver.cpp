#include "persimmonrail/daemon/coordinator_driver.h"

#include "persimmonrail/document/document_acceptance.h"
#include "persimmonrail/ownership/witness_choice.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

constexpr milliseconds pingTimeout{1000};
// Longer than pingTimeout, because the helper pings the suspect before it replies.
constexpr milliseconds probeTimeout{3000};
constexpr std::string_view configPrefix = "config/";

} // namespace

coordinator_driver::coordinator_driver(const instance_id &self, const std::string &availabilityZone,
                                       control_messenger &messenger, platform_worker &platform,
                                       const object_replica &replica, decision_log &log)
    : m_messenger(messenger)
    , m_platform(platform)
    , m_replica(replica)
    , m_log(log)
    , m_coordinator(self, availabilityZone, makeHooks())
{ }

coordinator::hooks coordinator_driver::makeHooks()
{
    coordinator::hooks hooks;
    hooks.placement.chooseWitnesses = chooseWitnesses;
    hooks.placement.chooseStandbys = chooseStandbys;
    hooks.placement.condition = [](const member_record &member) {
        return member.slots > 0 ? member_condition::Available : member_condition::Draining;
    };
    hooks.writeRecord = [this](const record_change &change) { writeRecord(change); };
    hooks.unevaluatedDocuments = [this] { return documentsAwaitingDecision(); };
    hooks.evaluateDocument = [this](const std::string &service, const stored_object &config) {
        evaluateDocument(service, config);
    };
    hooks.requestProbe = [this](const member_record &helper, const member_record &suspect) {
        requestProbe(helper, suspect);
    };
    hooks.removeMember = [this](const member_record &member) { removeMember(member); };
    return hooks;
}

void coordinator_driver::onView(const std::shared_ptr<const fleet_view> &view, steady_time now)
{
    m_coordinator.setView(view, now);
}

void coordinator_driver::pingMembers(steady_time now)
{
    for (const auto &member : m_coordinator.takeDuePings(now)) {
        wire::Request request;
        request.mutable_ping();
        m_messenger.send(member.controlAddress, std::move(request), pingTimeout,
                         [this](const absl::StatusOr<wire::Reply> &reply, steady_time receivedAt) {
                             if (reply.ok()) {
                                 m_coordinator.recordReply(fromWire(reply->sender()), receivedAt);
                             }
                         });
    }
}

void coordinator_driver::runDueTasks(steady_time now)
{
    m_coordinator.tick(now);
}

void coordinator_driver::writeRecord(const record_change &change)
{
    const std::string key = placementKey(change.record.partition);
    if (!m_pendingWrites.insert(key).second) {
        return;
    }
    m_platform.put(
        key, change.expectedVersion, encodeRecord(change.record),
        [this, key, change](const absl::StatusOr<uint64_t> &version, steady_time) {
            m_pendingWrites.erase(key);
            m_log.write(log_level::Info,
                        absl::StrCat(
                            "placement ", std::string(toString(change.kind)),
                            " partition=", change.record.partition,
                            " owner=", toString(change.record.owner), " term=", change.record.term,
                            " next_owner=", change.record.nextOwner.name, " reason=", change.reason,
                            " result=", version.ok() ? "recorded" : version.status().ToString()));
        });
}

// The decision in force is the status object in this daemon's replica. A document therefore counts
// as undecided until its written status has reached the replica through a pull or a watch.
std::vector<stored_object> coordinator_driver::documentsAwaitingDecision() const
{
    std::vector<stored_object> documents;
    m_replica.visitPrefix(configPrefix, [&](const stored_object &config) {
        const std::string service = config.key.substr(configPrefix.size());
        const stored_object *statusObject = m_replica.find(statusKey(service));
        const auto status = statusObject == nullptr
            ? absl::StatusOr<document_status>(absl::NotFoundError(""))
            : decodeStatus(statusObject->value);
        if (!status.ok() || status->sourceVersion < config.version) {
            documents.push_back(config);
        }
    });
    return documents;
}

void coordinator_driver::evaluateDocument(const std::string &service, const stored_object &config)
{
    std::optional<accepted_document> current;
    if (const auto *object = m_replica.find(acceptedKey(service)); object != nullptr) {
        if (auto decoded = decodeAccepted(object->value); decoded.ok()) {
            current = *std::move(decoded);
        }
    }
    std::optional<document_status> status;
    if (const auto *object = m_replica.find(statusKey(service)); object != nullptr) {
        if (auto decoded = decodeStatus(object->value); decoded.ok()) {
            status = *std::move(decoded);
        }
    }
    const auto decision =
        decideAcceptance(config, current, status, std::chrono::system_clock::now());
    if (decision.accepted) {
        writeDecision(acceptedKey(service), encodeAccepted(*decision.accepted));
    }
    if (decision.status) {
        writeDecision(statusKey(service), encodeStatus(*decision.status));
    }
}

void coordinator_driver::writeDecision(const std::string &key, const std::string &value)
{
    if (!m_pendingWrites.insert(key).second) {
        return;
    }
    const stored_object *current = m_replica.find(key);
    m_platform.put(key, current == nullptr ? 0 : current->version, value,
                   [this, key](const absl::StatusOr<uint64_t> &version, steady_time) {
                       m_pendingWrites.erase(key);
                       m_log.write(log_level::Info,
                                   absl::StrCat("document verdict key=", key, " result=",
                                                version.ok() ? absl::StrCat("version ", *version)
                                                             : version.status().ToString()));
                   });
}

void coordinator_driver::requestProbe(const member_record &helper, const member_record &suspect)
{
    wire::Request request;
    *request.mutable_probe()->mutable_suspect() = toWire(suspect.id);
    request.mutable_probe()->set_control_address(suspect.controlAddress);
    m_messenger.send(helper.controlAddress, std::move(request), probeTimeout,
                     [this, helper = helper.id, suspect = suspect.id](
                         const absl::StatusOr<wire::Reply> &reply, steady_time now) {
                         if (reply.ok() && reply->has_probe()) {
                             m_coordinator.recordProbeResult(helper, suspect,
                                                             reply->probe().answered(), now);
                         }
                     });
}

void coordinator_driver::onProbe(const wire::Probe &probe,
                                 const control_messenger::responder &respond)
{
    wire::Request request;
    request.mutable_ping();
    m_messenger.send(probe.control_address(), std::move(request), pingTimeout,
                     [respond](const absl::StatusOr<wire::Reply> &reply, steady_time) {
                         wire::Reply probeReply;
                         probeReply.mutable_probe()->set_answered(reply.ok());
                         respond(probeReply);
                     });
}

void coordinator_driver::removeMember(const member_record &member)
{
    const std::string key = memberKey(member.id.name);
    const stored_object *object = m_replica.find(key);
    if (object == nullptr || !m_pendingWrites.insert(key).second) {
        return;
    }
    m_platform.remove(
        key, object->version, [this, key](const absl::StatusOr<uint64_t> &version, steady_time) {
            m_pendingWrites.erase(key);
            m_log.write(log_level::Warn,
                        absl::StrCat("removal of unresponsive member key=", key, " result=",
                                     version.ok() ? "deleted" : version.status().ToString()));
        });
}

} // namespace persimmonrail
