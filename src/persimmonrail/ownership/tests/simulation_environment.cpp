#include "persimmonrail/ownership/tests/simulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// Implements the network, the platform and the upstreams of the simulation.

namespace persimmonrail {

void simulation::sendMessage(size_t from, const instance_id &to, const wire::Request &request,
                             milliseconds timeout, const ownership_hooks::reply_completion &done)
{
    const size_t receiver = indexOf(to);
    const auto isDone = std::make_shared<bool>(false);
    const auto complete = [this, isDone, done](absl::StatusOr<wire::Reply> reply) {
        return [this, isDone, done, reply = std::move(reply)](node &sender) {
            if (!std::exchange(*isDone, true)) {
                done(reply, localTime(sender));
            }
        };
    };
    scheduleOnNode(from, m_now + timeout,
                   complete(absl::DeadlineExceededError("the receiver did not reply")));
    const int copies = m_areFaultsEnabled && randomBool(0.03) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto delay = [this] {
            return m_areFaultsEnabled && randomBool(0.02) ? randomDuration(1, 1600)
                                                          : randomDuration(1, 4);
        };
        if (receiver == m_nodes.size() || randomBool(m_lossRate)
            || m_brokenLinks.contains({from, receiver})) {
            continue;
        }
        scheduleOnNode(receiver, m_now + delay(), [=, this](node &target) {
            const auto reply = replyTo(target, request);
            if (!randomBool(m_lossRate) && !m_brokenLinks.contains({receiver, from})) {
                // A sender that has restarted in the meantime does not receive the reply.
                scheduleOnNode(from, m_now + delay(), complete(reply));
            }
        });
    }
}

wire::Reply simulation::replyTo(node &receiver, const wire::Request &request)
{
    wire::Reply reply;
    if (request.has_ping()) {
        reply.mutable_sender()->set_name(receiver.id.name);
        reply.mutable_sender()->set_incarnation(receiver.id.incarnation);
        const auto uptime =
            std::chrono::floor<milliseconds>(localTime(receiver) - receiver.startedAt);
        reply.mutable_ping()->set_uptime_ms(static_cast<uint64_t>(uptime.count()));
        return reply;
    }
    auto changed = request;
    if (m_disabled.recordVersions) {
        const auto overrideRecordVersion = [](wire::PartitionLease &lease) {
            lease.set_record_version(uint64_t{1} << 40);
        };
        if (request.has_heartbeat()) {
            for (auto &lease : *changed.mutable_heartbeat()->mutable_leases()) {
                overrideRecordVersion(lease);
            }
        } else if (request.has_claim()) {
            overrideRecordVersion(*changed.mutable_claim()->mutable_lease());
        } else if (request.has_release()) {
            overrideRecordVersion(*changed.mutable_release()->mutable_lease());
        } else if (request.has_expiry_notice()) {
            changed.mutable_expiry_notice()->set_record_version(0);
        }
    }
    return receiver.engine->onRequest(changed, localTime(receiver));
}

void simulation::put(size_t from, const std::string &key, uint64_t expected,
                     const std::string &text, const ownership_hooks::put_completion &done)
{
    const auto complete = [this, done](const absl::StatusOr<uint64_t> &version) {
        return [this, done, version](node &writer) { done(version, localTime(writer)); };
    };
    schedule(m_now + randomDuration(1, 5), [=, this] {
        const auto respondedAt = m_now + randomDuration(1, 5);
        if (!m_isPlatformUp) {
            scheduleOnNode(from, respondedAt,
                           complete(absl::UnavailableError("the platform is down")));
            return;
        }
        if (m_areFaultsEnabled && randomBool(0.15)) {
            // The response is lost. The write takes effect now, late or never.
            scheduleOnNode(from, respondedAt + randomDuration(0, 300),
                           complete(absl::UnknownError("the platform did not respond")));
            if (randomBool(0.7)) {
                schedule(m_now + (randomBool(0.5) ? randomDuration(0, 5) : randomDuration(5, 3000)),
                         [=, this] { (void)applyPut(key, expected, text); });
            }
            return;
        }
        scheduleOnNode(from, respondedAt, complete(applyPut(key, expected, text)));
    });
}

absl::StatusOr<uint64_t> simulation::applyPut(const std::string &key, uint64_t expected,
                                              const std::string &text)
{
    auto &object = m_objects[key];
    if (object.version != expected) {
        return absl::AbortedError("the object has another version");
    }
    object = {key, ++m_revision, false, text};
    publishView();
    return object.version;
}

void simulation::get(size_t from, const std::string &key,
                     const ownership_hooks::get_completion &done)
{
    schedule(m_now + randomDuration(1, 5), [=, this] {
        absl::StatusOr<stored_object> result = absl::UnavailableError("the platform is down");
        if (m_isPlatformUp) {
            result = m_objects.at(key);
        }
        scheduleOnNode(from, m_now + randomDuration(1, 5),
                       [this, done, result](node &reader) { done(result, localTime(reader)); });
    });
}

void simulation::applyGrants(size_t index, const std::vector<lease_grant> &grants,
                             const ownership_hooks::grant_completion &done)
{
    scheduleOnNode(index, m_now + randomDuration(1, 3), [this, grants, done](node &node) {
        if (!node.isUpstreamUp || (m_areFaultsEnabled && randomBool(0.02))) {
            done(absl::UnavailableError("the upstream does not respond"), localTime(node));
            return;
        }
        for (const auto &grant : grants) {
            auto &term = node.upstreamTerms[grant.partition];
            if (grant.term < term) {
                recordViolation(absl::StrCat("grant of term ", grant.term, " after ", term, " for ",
                                             grant.partition));
            }
            term = grant.term;
        }
        done(absl::OkStatus(), localTime(node));
    });
}

void simulation::registerMembers()
{
    for (auto &node : m_nodes) {
        if (m_isPlatformUp && !node.isRegistered) {
            node.isRegistered = true;
            ++m_revision;
        }
    }
    publishView();
    schedule(m_now + milliseconds(100), [this] { registerMembers(); });
}

void simulation::requestMove()
{
    const auto &name = std::next(m_history.begin(),
                                 randomDuration(0, static_cast<int>(m_history.size()) - 1).count())
                           ->first;
    const auto &object = m_objects.at(placementKey(name));
    auto record = decodeRecord(object.value);
    if (m_isPlatformUp && record.ok()) {
        record->nextOwner = m_nodes[randomNode()].id;
        (void)applyPut(object.key, object.version, encodeRecord(*record));
    }
}

void simulation::publishView()
{
    if (m_view && m_view->revision == m_revision) {
        return;
    }
    auto view = std::make_shared<fleet_view>();
    view->revision = m_revision;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        const auto &node = m_nodes[i];
        member_record member;
        member.id = node.id;
        member.region = "pomorze";
        member.availabilityZone = node.zone;
        member.service = "berthdesk";
        member.controlAddress = absl::StrCat("10.0.0.", i, ":7000");
        if (!node.isRegistered) {
            member = m_view->members.at(node.id.name);
        }
        view->members[node.id.name] = member;
    }
    for (const auto &[key, object] : m_objects) {
        if (auto record = decodeRecord(object.value); record.ok()) {
            const auto partition = record->partition;
            view->records[partition] = {*std::move(record), object.version};
        }
    }
    m_view = std::move(view);
}

} // namespace persimmonrail
