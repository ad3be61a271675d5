#include "persimmonrail/daemon/sync_driver.h"

#include "persimmonrail/document/document_acceptance.h"
#include "persimmonrail/document/document_parser.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

// A peer answers within a few milliseconds; a region boundary adds some tens.
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
    , m_takePullReply(options.onPullReply)
    , m_store({parseAccepted,
               [this](const stored_object &object, const absl::Status &status) {
                   m_log.write(log_level::Error,
                               absl::StrCat("ignoring object ", object.key, " version ",
                                            object.version, ": ", std::string(status.message())));
               }})
    , m_schedule(options.self, options.seeds, options.random)
    , m_readiness(options.self.instance)
    , m_election(options.self.instance, options.self.availabilityZone, now, options.random)
    , m_view(m_store.buildView())
    , m_watch(options.platform, watchHooks())
{ }

relay_watch::hooks sync_driver::watchHooks()
{
    relay_watch::hooks hooks;
    hooks.listed = [this](const object_list &list) {
        m_loop.post([this, list](steady_time now) {
            m_store.applyList(list, now);
            m_readiness.recordPlatformRead(list.revision);
            publish(now);
        });
    };
    hooks.changed = [this](uint64_t since, const object_list &changes) {
        m_loop.post([this, since, changes](steady_time now) {
            m_store.applyWatch(since, changes, now);
            m_readiness.recordPlatformRead(changes.revision);
            publish(now);
        });
    };
    hooks.failed = [this](const absl::Status &status, milliseconds delay) {
        m_log.write(log_level::Warn,
                    absl::StrCat("platform watch failed: ", std::string(status.message()),
                                 "; next attempt in ", delay.count(), " ms"));
    };
    hooks.random = [seed = generateIncarnation()]() mutable {
        // SplitMix64; the watch needs it for jitter only.
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
    const auto target = m_schedule.next(*view());
    if (!target) {
        publish(now);
        return;
    }
    pullFrom(target->controlAddress);
}

void sync_driver::pullFrom(const std::string &controlAddress)
{
    wire::Request request;
    *request.mutable_pull() = m_store.nextPullRequest();
    const uint64_t after = request.pull().after_revision();
    m_messenger.send(
        controlAddress, std::move(request), pullTimeout,
        [this, controlAddress, after](const absl::StatusOr<wire::Reply> &reply, steady_time later) {
            if (reply.ok() && reply->has_pull()) {
                onPullReply(controlAddress, after, *reply, later);
            }
        });
}

void sync_driver::onPullReply(const std::string &controlAddress, uint64_t afterRevision,
                              const wire::Reply &reply, steady_time now)
{
    if (m_takePullReply) {
        m_takePullReply(reply.pull(), now);
    }
    m_readiness.recordPullReply(fromWire(reply.sender()), reply.pull());
    const bool applied = m_store.applyPull(afterRevision, reply.pull(), now);
    publish(now);
    // The rest of an answer that was cut follows at once, so that a daemon far behind catches up in
    // one interval.
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
                                                       steady_time later) {
                             if (reply.ok()) {
                                 m_election.recordResponse(name, later);
                             }
                         });
    }
    // Until it is ready, a daemon also reads the platform itself, from the state that it pulled.
    const bool catchesUp = !m_ready && m_store.revision() > 0;
    const bool wanted = m_election.isRelay(now) || catchesUp;
    if (wanted && !m_watch.isActive()) {
        m_log.write(log_level::Info,
                    absl::StrCat("watching the platform from revision ", m_store.revision()));
        m_watch.activate(m_store.revision());
    } else if (!wanted && m_watch.isActive()) {
        m_log.write(log_level::Info, "no longer watching the platform");
        m_watch.deactivate();
    }
    m_store.expireTombstones(now);
}

wire::PullReply sync_driver::respondToPull(const wire::Pull &pull, const instance_id &asking)
{
    return m_store.respondToPull(pull, asking);
}

std::shared_ptr<const fleet_view> sync_driver::view() const
{
    const std::lock_guard lock(m_viewMutex);
    return m_view;
}

void sync_driver::publish(steady_time now)
{
    m_publishedRevision = m_store.revision();
    auto next = m_store.buildView();
    const bool changed = next != view();
    if (changed) {
        const std::lock_guard lock(m_viewMutex);
        m_view = next;
    }
    if (changed) {
        m_election.setView(*next, now);
    }
    // A view that was held back until the daemon is ready is passed on then, changed or not.
    if (updateReadiness() || changed) {
        m_onView(next, now);
    }
}

bool sync_driver::updateReadiness()
{
    if (m_ready || !m_readiness.evaluate(m_store.revision(), *view())) {
        return false;
    }
    m_ready = true;
    m_store.markReady();
    m_log.write(
        log_level::Info,
        absl::StrCat("state complete at revision ", m_store.revision(), "; ready to serve"));
    return true;
}

} // namespace persimmonrail
