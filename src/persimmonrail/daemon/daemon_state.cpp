#include "persimmonrail/daemon/daemon_state.h"

#include "persimmonrail/daemon/quarantine_gossip.h"
#include "persimmonrail/objects/http_object_api.h"

#include <Poco/JSON/Object.h>

#include <absl/strings/str_cat.h>

#include <random>
#include <sstream>

namespace persimmonrail {
namespace {

constexpr milliseconds platformTimeout{2000};
constexpr milliseconds engineInterval{20};
constexpr milliseconds upstreamExpiryInterval{250};
constexpr milliseconds memberRecordInterval{100};
constexpr milliseconds memberPingInterval{250};
constexpr milliseconds coordinatorInterval{1000};
// A daemon that is stopping or whose upstream is draining dispatches no further requests to its
// upstream after this time, even if its partitions have not moved yet (requirement P6).
constexpr milliseconds newWorkRejectionDelay{3000};
// The caller port stays open for this time after a stop has begun. Peers learn within this time
// that the instance has no slots; until then they may still choose the instance.
constexpr milliseconds listenerCloseDelay{1000};
// Time for requests to arrive on connections that were accepted before the listener closed.
constexpr milliseconds connectionDrainTimeout{500};
constexpr milliseconds memberRecordDeletionTimeout{2000};
constexpr milliseconds stopPollInterval{10};

log_level parseLogLevel(const std::string &name)
{
    if (name == "trace" || name == "debug") {
        return log_level::Debug;
    }
    if (name == "warn") {
        return log_level::Warn;
    }
    return name == "error" ? log_level::Error : log_level::Info;
}

uint64_t incarnationHash(const upstream_announcement &announcement)
{
    return keyHash(announcement.instance + "/" + announcement.bootId);
}

} // namespace

daemon::state::state(const daemon_settings &settings)
    : m_settings(settings)
    , m_self{settings.instance, generateIncarnation()}
    , m_startedAt(std::chrono::steady_clock::now())
    , m_log({parseLogLevel(settings.logLevel), settings.logFile})
    , m_platformApi(makeHttpObjectApi(settings.platformAddress, platformTimeout))
    , m_upstreamClient({},
                       {[this](upstream_state state, const upstream_announcement &announcement) {
                            if (state == upstream_state::Down) {
                                m_quarantine.recordCrash(incarnationHash(announcement),
                                                         std::chrono::steady_clock::now());
                            }
                            onUpstreamState(state, announcement);
                        },
                        [this](const upstream_announcement &announcement) {
                            // The successor identifies the crash, since the hook doesn't name the
                            // incarnation that has ended.
                            m_quarantine.recordCrash(~incarnationHash(announcement),
                                                     std::chrono::steady_clock::now());
                            // The new incarnation of the upstream holds no grants and does not know
                            // the requests of the previous one.
                            onUpstreamState(upstream_state::Down, announcement);
                            onUpstreamState(upstream_state::Up, announcement);
                        }})
    , m_instanceDirectory(settings.availabilityZone, makeRandomSource)
    , m_retryBudget(m_startedAt)
    , m_atMostOnce({.clockSkew = settings.clockSkewAllowance})
    , m_admission({}, [this] { return readAdmissionSource(); })
    , m_rejectNewWorkAt(steady_time::max().time_since_epoch().count())
{ }

daemon::state::~state()
{
    // The servers are destroyed first, because their handlers use all other components. The workers
    // post to the loop until they are destroyed; the stopped loop drops their tasks, and the loop
    // is destroyed after the workers.
    m_adminServer.reset();
    m_callerServer.reset();
    m_peerServer.reset();
    m_loop.stop();
}

random_source daemon::state::makeRandomSource()
{
    auto engine = std::make_shared<std::mt19937_64>(generateIncarnation());
    return [engine] { return (*engine)(); };
}

member_record daemon::state::makeMemberRecord() const
{
    member_record member;
    member.id = m_self;
    member.region = m_settings.region;
    member.availabilityZone = m_settings.availabilityZone;
    member.service = m_settings.service;
    member.peerAddress = m_peerServer->address();
    member.controlAddress = m_messenger->address();
    return member;
}

// The loop starts last, so that no task or handler uses control state that is incomplete.
absl::Status daemon::state::start()
{
    m_log.write(log_level::Info,
                absl::StrCat("starting instance ", toString(m_self), " in availability zone ",
                             m_settings.availabilityZone));
    if (auto status = createControlComponents(); !status.ok()) {
        return status;
    }
    if (auto status = startServers(); !status.ok()) {
        return status;
    }
    m_memberPublisher.emplace(makeMemberRecord(), *m_platformWorker, m_log);
    schedulePeriodicTasks();
    m_log.write(log_level::Info,
                absl::StrCat("listening caller=", m_callerServer->address(),
                             " peer=", m_peerServer->address(), " control=", m_messenger->address(),
                             " admin=", m_adminServer->address()));
    m_loop.start();
    return absl::OkStatus();
}

absl::Status daemon::state::createControlComponents()
{
    auto messenger = control_messenger::listen(
        m_settings.controlAddress, m_self, m_loop,
        [this](const wire::Request &request, const control_messenger::responder &respond,
               steady_time now) { handleControlRequest(request, respond, now); });
    if (!messenger.ok()) {
        return messenger.status();
    }
    m_messenger = *std::move(messenger);
    m_platformWorker.emplace(m_platformApi, m_loop);
    m_grantPusher.emplace(m_upstreamClient, m_loop);
    sync_driver::options options{{m_self.name, m_settings.availabilityZone, m_settings.region},
                                 m_settings.seeds,
                                 m_platformApi,
                                 makeRandomSource(),
                                 [this](const wire::PullReply &reply, steady_time now) {
                                     m_quarantine.merge(quarantineFromWire(reply), now);
                                 }};
    m_syncDriver.emplace(
        options, m_loop, *m_messenger, m_log,
        [this](const std::shared_ptr<const fleet_view> &view, steady_time now) {
            onView(view, now);
        },
        m_startedAt);
    m_coordinatorDriver.emplace(m_self, m_settings.availabilityZone, *m_messenger,
                                *m_platformWorker, m_syncDriver->replica(), m_log);
    m_engine.emplace(makeOwnershipEngine());
    return absl::OkStatus();
}

ownership_engine daemon::state::makeOwnershipEngine()
{
    return ownership_engine::builder()
        .self(m_self)
        .hooks(makeOwnershipHooks())
        .servingTable(m_servingTable)
        .seed(m_self.incarnation)
        .build();
}

ownership_hooks daemon::state::makeOwnershipHooks()
{
    ownership_hooks hooks;
    hooks.send = [this](const instance_id &to, wire::Request request, milliseconds timeout,
                        ownership_hooks::reply_completion done) {
        const auto address = m_controlAddresses.find(to.name);
        if (address == m_controlAddresses.end()) {
            m_loop.post([done](steady_time now) {
                done(absl::UnavailableError("the control address of the instance is unknown"), now);
            });
            return;
        }
        m_messenger->send(address->second, std::move(request), timeout, std::move(done));
    };
    hooks.putRecord = [this](const std::string &key, uint64_t expectedVersion,
                             const std::string &text, ownership_hooks::put_completion done) {
        m_platformWorker->put(key, expectedVersion, text, std::move(done));
    };
    hooks.getRecord = [this](const std::string &key, ownership_hooks::get_completion done) {
        m_platformWorker->get(key, std::move(done));
    };
    hooks.applyGrants = [this](std::vector<lease_grant> grants,
                               ownership_hooks::grant_completion done) {
        m_grantPusher->enqueue(std::move(grants), std::move(done));
    };
    hooks.log = [this](const std::string &line) { m_log.write(log_level::Info, line); };
    return hooks;
}

void daemon::state::schedulePeriodicTasks()
{
    m_loop.every(engineInterval, [this](steady_time now) {
        m_engine->tick(now);
        m_isEngineDrained = m_engine->isDrained();
    });
    m_loop.every(pullInterval, [this](steady_time now) { m_syncDriver->pull(now); });
    m_loop.every(electionPingInterval, [this](steady_time now) { m_syncDriver->runElection(now); });
    m_loop.every(memberRecordInterval, [this](steady_time now) {
        m_memberPublisher->writeIfChanged(now);
        m_isMemberRecordDeleted = m_memberPublisher->isRecordDeleted();
    });
    m_loop.every(memberPingInterval,
                 [this](steady_time now) { m_coordinatorDriver->pingMembers(now); });
    m_loop.every(coordinatorInterval, [this](steady_time now) {
        if (!m_isStopping && m_syncDriver->isReady()) {
            m_coordinatorDriver->runDueTasks(now);
        }
    });
    m_loop.every(upstreamExpiryInterval, [this](steady_time now) { m_upstreamClient.expire(now); });
}

void daemon::state::handleControlRequest(const wire::Request &request,
                                         const control_messenger::responder &respond,
                                         steady_time now)
{
    wire::Reply reply;
    switch (request.body_case()) {
    case wire::Request::kPull:
        *reply.mutable_pull() =
            m_syncDriver->respondToPull(request.pull(), fromWire(request.sender()));
        addQuarantineEntries(m_quarantine, now, *reply.mutable_pull());
        break;
    case wire::Request::kPing: {
        const auto uptime = std::chrono::duration_cast<milliseconds>(now - m_startedAt);
        reply.mutable_ping()->set_uptime_ms(static_cast<uint64_t>(uptime.count()));
        reply.mutable_ping()->set_revision(m_syncDriver->revision());
        break;
    }
    case wire::Request::kProbe:
        m_coordinatorDriver->onProbe(request.probe(), respond);
        return;
    default:
        reply = m_engine->onRequest(request, now);
        break;
    }
    respond(reply);
}

void daemon::state::onView(const std::shared_ptr<const fleet_view> &view, steady_time now)
{
    for (const auto &[name, member] : view->members) {
        m_controlAddresses[name] = member.controlAddress;
    }
    m_instanceDirectory.setView(*view, now);
    m_coordinatorDriver->onView(view, now);
    // Until the daemon is ready, the view may be older than the records in force, and claims must
    // not be based on outdated records.
    if (m_syncDriver->isReady()) {
        m_engine->onView(view, now);
    }
}

void daemon::state::onUpstreamState(upstream_state state, const upstream_announcement &announcement)
{
    m_loop.post([this, state, announcement](steady_time now) {
        m_log.write(
            log_level::Info,
            absl::StrCat("upstream ", announcement.instance, " is ", std::string(toString(state))));
        switch (state) {
        case upstream_state::Up:
            m_engine->onUpstreamUp(now);
            m_memberPublisher->setSlots(m_isStopping ? 0 : announcement.slots);
            break;
        case upstream_state::Draining:
            m_engine->startShutdown(now);
            m_memberPublisher->setSlots(0);
            break;
        case upstream_state::Down:
            m_engine->onUpstreamDown(now);
            m_memberPublisher->setSlots(0);
            break;
        }
    });
}

bool daemon::state::waitUntil(steady_time deadline, const std::function<bool()> &condition)
{
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(stopPollInterval);
    }
    return true;
}

bool daemon::state::stop()
{
    const auto startedAt = std::chrono::steady_clock::now();
    const auto deadline = startedAt + m_settings.stopTimeout;
    m_log.write(log_level::Info, "graceful shutdown started");
    m_isStopping = true;
    m_rejectNewWorkAt = (startedAt + newWorkRejectionDelay).time_since_epoch().count();
    m_loop.post([this](steady_time now) {
        m_memberPublisher->setSlots(0);
        m_engine->startShutdown(now);
    });
    bool isComplete = waitUntil(deadline, [this] { return m_isEngineDrained.load(); });
    waitUntil(std::min(deadline, startedAt + listenerCloseDelay), [] { return false; });
    m_callerServer->server().stopListening();
    // inFlight() doesn't count a connection whose request has not been read yet, so open
    // connections are awaited first.
    const auto connectionDeadline = std::chrono::steady_clock::now() + connectionDrainTimeout;
    waitUntil(std::min(deadline, connectionDeadline),
              [this] { return m_callerServer->server().connectionCount() == 0; });
    isComplete &= waitUntil(deadline, [this] { return m_requestRouter->inFlight() == 0; });
    m_loop.post([this](steady_time) { m_memberPublisher->deleteRecord(); });
    const auto deletionDeadline = std::chrono::steady_clock::now() + memberRecordDeletionTimeout;
    const bool isRecordDeleted =
        waitUntil(deletionDeadline, [this] { return m_isMemberRecordDeleted.load(); });
    m_log.write(log_level::Info,
                absl::StrCat("graceful shutdown finished, requests in flight: ",
                             m_requestRouter->inFlight(), ", member record: ",
                             isRecordDeleted ? "deleted" : "left for the coordinator to delete"));
    return isComplete;
}

bool daemon::state::rejectsNewWork(steady_time now) const
{
    if (now.time_since_epoch().count() >= m_rejectNewWorkAt) {
        return true;
    }
    const auto upstream = m_upstreamClient.status(now);
    return upstream.state == upstream_state::Draining
        && upstream.timeSinceDraining >= newWorkRejectionDelay;
}

std::string daemon::state::notReadyReason() const
{
    if (m_isStopping) {
        return "stopping";
    }
    if (!m_syncDriver->isReady()) {
        return "state incomplete";
    }
    return {};
}

std::string daemon::state::describeState()
{
    const auto view = m_syncDriver->view();
    const auto upstream = m_upstreamClient.status(std::chrono::steady_clock::now());
    Poco::JSON::Object state;
    state.set("instance", toString(m_self));
    state.set("ready", m_syncDriver->isReady());
    state.set("relay", m_syncDriver->isRelay());
    state.set("revision", m_syncDriver->revision());
    state.set("members", view->members.size());
    state.set("records", view->records.size());
    state.set("documents", view->documents.size());
    state.set("upstream", std::string(toString(upstream.state)));
    std::ostringstream out;
    state.stringify(out);
    return out.str();
}

} // namespace persimmonrail
