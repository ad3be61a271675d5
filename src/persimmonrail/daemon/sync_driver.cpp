#include "persimmonrail/daemon/sync_driver.h"

#include "persimmonrail/document/document_acceptance.h"
#include "persimmonrail/document/document_parser.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

// A peer replies within a few milliseconds; a peer in another region takes some tens of
// milliseconds longer.
constexpr milliseconds pullTimeout{1000};
constexpr milliseconds pingTimeout{1000};

absl::StatusOr<service_document> parseAccepted(std::string_view value)
{
    const auto accepted = decodeAccepted(value);
    if (!accepted.ok()) {
        return accepted.status();
    }
    auto parsed = parseServiceDocument(accepted->document);
    if (!parsed.document) {
        return absl::InvalidArgumentError(renderErrors(parsed.errors));
    }
    return *std::move(parsed.document);
}

} // namespace

sync_driver::sync_driver(const options &options, control_loop &loop, control_messenger &messenger,
                         decision_log &log, view_listener onView, steady_time now)
    : m_loop(loop)
    , m_messenger(messenger)
    , m_log(log)
    , m_onView(std::move(onView))
    , m_onPullReply(options.onPullReply)
    , m_replica({parseAccepted,
                 [this](const stored_object &object, const absl::Status &status) {
                     m_log.write(log_level::Error,
                                 absl::StrCat("ignoring invalid object ", object.key, " version ",
                                              object.version, ": ", std::string(status.message())));
                 }})
    , m_schedule(options.self, options.seeds, options.random)
    , m_readiness(options.self.instance)
    , m_election(options.self.instance, options.self.availabilityZone, now, options.random)
    , m_view(m_replica.buildView())
    , m_watch(options.platform, makeWatchHooks())
{ }

relay_watch::hooks sync_driver::makeWatchHooks()
{
    relay_watch::hooks hooks;
    hooks.listed = [this](const object_list &list) {
        m_loop.post([this, list](steady_time now) {
            m_replica.applyList(list, now);
            m_readiness.recordPlatformRead(list.revision);
            publishView(now);
        });
    };
    hooks.changed = [this](uint64_t sinceRevision, const object_list &changes) {
        m_loop.post([this, sinceRevision, changes](steady_time now) {
            m_replica.applyWatch(sinceRevision, changes, now);
            m_readiness.recordPlatformRead(changes.revision);
            publishView(now);
        });
    };
    hooks.failed = [this](const absl::Status &status, milliseconds delay) {
        m_log.write(log_level::Warn,
                    absl::StrCat("platform watch failed: ", std::string(status.message()),
                                 "; next attempt in ", delay.count(), " ms"));
    };
    hooks.random = [seed = generateIncarnation()]() mutable {
        // SplitMix64 is sufficient, because the watch uses random numbers only for jitter.
        seed += 0x9e3779b97f4a7c15ULL;
        uint64_t value = seed;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    };
    return hooks;
}

void sync_driver::pull(steady_time now)
{
    const auto peer = m_schedule.next(*view());
    if (!peer) {
        publishView(now);
        return;
    }
    pullFrom(peer->controlAddress);
}

void sync_driver::pullFrom(const std::string &controlAddress)
{
    wire::Request request;
    *request.mutable_pull() = m_replica.nextPullRequest();
    const uint64_t afterRevision = request.pull().after_revision();
    m_messenger.send(controlAddress, std::move(request), pullTimeout,
                     [this, controlAddress, afterRevision](const absl::StatusOr<wire::Reply> &reply,
                                                           steady_time receivedAt) {
                         if (reply.ok() && reply->has_pull()) {
                             onPullReply(controlAddress, afterRevision, *reply, receivedAt);
                         }
                     });
}

void sync_driver::onPullReply(const std::string &controlAddress, uint64_t afterRevision,
                              const wire::Reply &reply, steady_time now)
{
    if (m_onPullReply) {
        m_onPullReply(reply.pull(), now);
    }
    m_readiness.recordPullReply(fromWire(reply.sender()), reply.pull());
    const bool applied = m_replica.applyPull(afterRevision, reply.pull(), now);
    publishView(now);
    // If the reply did not contain all changes, the next pull follows at once, so that a daemon
    // that is far behind catches up within one interval.
    if (applied && reply.pull().complete_to() < reply.pull().revision()) {
        pullFrom(controlAddress);
    }
}

void sync_driver::runElection(steady_time now)
{
    for (const auto &member : m_election.pingTargets()) {
        wire::Request request;
        request.mutable_ping();
        m_messenger.send(member.controlAddress, std::move(request), pingTimeout,
                         [this, name = member.id.name](const absl::StatusOr<wire::Reply> &reply,
                                                       steady_time receivedAt) {
                             if (reply.ok()) {
                                 m_election.recordReply(name, receivedAt);
                             }
                         });
    }
    // A daemon that is not ready also watches the platform itself, from the revision that it has
    // pulled.
    const bool isCatchingUp = !m_isReady && m_replica.revision() > 0;
    const bool shouldWatch = m_election.isRelay(now) || isCatchingUp;
    if (shouldWatch && !m_watch.isActive()) {
        m_log.write(log_level::Info,
                    absl::StrCat("watching the platform from revision ", m_replica.revision()));
        m_watch.activate(m_replica.revision());
    } else if (!shouldWatch && m_watch.isActive()) {
        m_log.write(log_level::Info, "no longer watching the platform");
        m_watch.deactivate();
    }
    m_replica.expireTombstones(now);
}

wire::PullReply sync_driver::respondToPull(const wire::Pull &pull, const instance_id &requester)
{
    return m_replica.respondToPull(pull, requester);
}

std::shared_ptr<const fleet_view> sync_driver::view() const
{
    const std::lock_guard lock(m_viewMutex);
    return m_view;
}

void sync_driver::publishView(steady_time now)
{
    m_publishedRevision = m_replica.revision();
    auto nextView = m_replica.buildView();
    const bool hasChanged = nextView != view();
    if (hasChanged) {
        const std::lock_guard lock(m_viewMutex);
        m_view = nextView;
    }
    if (hasChanged) {
        m_election.setView(*nextView, now);
    }
    // When the daemon becomes ready, the listener receives the view even if it has not changed,
    // because the listener uses parts of a view only in a ready daemon.
    if (updateReadiness() || hasChanged) {
        m_onView(nextView, now);
    }
}

bool sync_driver::updateReadiness()
{
    if (m_isReady || !m_readiness.evaluate(m_replica.revision(), *view())) {
        return false;
    }
    m_isReady = true;
    m_replica.markReady();
    m_log.write(log_level::Info,
                absl::StrCat("fleet state is complete at revision ", m_replica.revision(),
                             "; the daemon is ready to serve"));
    return true;
}

} // namespace persimmonrail
