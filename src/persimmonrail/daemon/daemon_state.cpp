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
constexpr milliseconds engineTick{20};
constexpr milliseconds upstreamExpiryTick{250};
constexpr milliseconds announcerTick{100};
constexpr milliseconds coordinatorPingTick{250};
constexpr milliseconds coordinatorTick{1000};
// A stopping daemon, or one whose upstream drains, hands nothing to its upstream after this time,
// whether its partitions have moved or not (P6).
constexpr milliseconds newWorkAfterStop{3000};
// Peers learn within this time that the instance has no slots; until then they may still choose it.
constexpr milliseconds stopAnnouncementTime{1000};
// Requests on connections that were accepted before the listener closed arrive within this time.
constexpr milliseconds acceptedRequestTime{500};
constexpr milliseconds withdrawTime{2000};
constexpr milliseconds stopPollInterval{10};

log_level levelOf(const std::string &name)
{
    if (name == "trace" || name == "debug") {
        return log_level::Debug;
    }
    if (name == "warn") {
        return log_level::Warn;
    }
    return name == "error" ? log_level::Error : log_level::Info;
}

} // namespace

daemon::state::state(const daemon_settings &settings)
    : m_settings(settings)
    , m_self{settings.instance, generateIncarnation()}
    , m_started(std::chrono::steady_clock::now())
    , m_log({levelOf(settings.logLevel), settings.logFile})
    , m_api(makeHttpObjectApi(settings.platformAddress, platformTimeout))
    , m_upstreamClient({},
                       {[this](upstream_state state, const upstream_announcement &announcement) {
                            if (state == upstream_state::Down) {
                                m_quarantine.recordCrash(std::chrono::steady_clock::now());
                            }
                            onUpstreamState(state, announcement);
                        },
                        [this](const upstream_announcement &announcement) {
                            m_quarantine.recordCrash(std::chrono::steady_clock::now());
                            // The new run holds no grants and has forgotten its requests.
                            onUpstreamState(upstream_state::Down, announcement);
                            onUpstreamState(upstream_state::Up, announcement);
                        }})
    , m_instances(settings.availabilityZone, makeRandom)
    , m_retries(m_started)
    , m_atMostOnce({.clockSkew = settings.clockSkewAllowance})
    , m_admission({}, [this] { return readAdmissionSource(); })
    , m_noNewWorkAt(steady_time::max().time_since_epoch().count())
{ }

daemon::state::~state()
{
    // Servers first: their handlers use everything else. The loop last: workers post to it.
    m_admin.reset();
    m_callers.reset();
    m_peers.reset();
    m_loop.stop();
}

random_source daemon::state::makeRandom()
{
    auto engine = std::make_shared<std::mt19937_64>(generateIncarnation());
    return [engine] { return (*engine)(); };
}

member_record daemon::state::makeMember() const
{
    member_record member;
    member.id = m_self;
    member.region = m_settings.region;
    member.availabilityZone = m_settings.availabilityZone;
    member.service = m_settings.service;
    member.peerAddress = m_peers->address();
    member.controlAddress = m_messenger->address();
    return member;
}

// The loop starts last, so that nothing touches control state before it is complete.
absl::Status daemon::state::start()
{
    m_log.write(log_level::Info,
                absl::StrCat("starting instance ", toString(m_self), " zone ",
                             m_settings.availabilityZone));
    if (auto status = createControl(); !status.ok()) {
        return status;
    }
    if (auto status = startTraffic(); !status.ok()) {
        return status;
    }
    m_announcer.emplace(makeMember(), *m_platform, m_log);
    schedulePeriodicTasks();
    m_log.write(log_level::Info,
                absl::StrCat("listening caller=", m_callers->address(),
                             " peer=", m_peers->address(), " control=", m_messenger->address(),
                             " admin=", m_admin->address()));
    m_loop.start();
    return absl::OkStatus();
}

absl::Status daemon::state::createControl()
{
    auto messenger = control_messenger::listen(
        m_settings.controlAddress, m_self, m_loop,
        [this](const wire::Request &request, const control_messenger::responder &respond,
               steady_time now) { handleControl(request, respond, now); });
    if (!messenger.ok()) {
        return messenger.status();
    }
    m_messenger = *std::move(messenger);
    m_platform.emplace(m_api, m_loop);
    m_grants.emplace(m_upstreamClient, m_loop);
    sync_driver::options options{{m_self.name, m_settings.availabilityZone, m_settings.region},
                                 m_settings.seeds,
                                 m_api,
                                 makeRandom(),
                                 [this](const wire::PullReply &reply, steady_time now) {
                                     m_quarantine.merge(quarantineFromWire(reply), now);
                                 }};
    m_sync.emplace(
        options, m_loop, *m_messenger, m_log,
        [this](const std::shared_ptr<const fleet_view> &view, steady_time now) {
            onView(view, now);
        },
        m_started);
    m_coordinator.emplace(m_self, m_settings.availabilityZone, *m_messenger, *m_platform,
                          m_sync->store(), m_log);
    m_engine.emplace(makeEngine());
    return absl::OkStatus();
}

ownership_engine daemon::state::makeEngine()
{
    return ownership_engine::builder()
        .self(m_self)
        .hooks(makeOwnershipHooks())
        .servingTable(m_serving)
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
            m_loop.post(
                [done](steady_time now) { done(absl::UnavailableError("no known address"), now); });
            return;
        }
        m_messenger->send(address->second, std::move(request), timeout, std::move(done));
    };
    hooks.putRecord = [this](const std::string &key, uint64_t expectedVersion,
                             const std::string &text, ownership_hooks::put_completion done) {
        m_platform->put(key, expectedVersion, text, std::move(done));
    };
    hooks.getRecord = [this](const std::string &key, ownership_hooks::get_completion done) {
        m_platform->get(key, std::move(done));
    };
    hooks.applyGrants = [this](std::vector<lease_grant> grants,
                               ownership_hooks::grant_completion done) {
        m_grants->apply(std::move(grants), std::move(done));
    };
    hooks.log = [this](const std::string &line) { m_log.write(log_level::Info, line); };
    return hooks;
}

void daemon::state::schedulePeriodicTasks()
{
    m_loop.every(engineTick, [this](steady_time now) {
        m_engine->tick(now);
        m_engineDrained = m_engine->isDrained();
    });
    m_loop.every(pullInterval, [this](steady_time now) { m_sync->pull(now); });
    m_loop.every(electionPingInterval, [this](steady_time now) { m_sync->runElection(now); });
    m_loop.every(announcerTick, [this](steady_time now) {
        m_announcer->tick(now);
        m_withdrawn = m_announcer->isWithdrawn();
    });
    m_loop.every(coordinatorPingTick, [this](steady_time now) { m_coordinator->pingMembers(now); });
    m_loop.every(coordinatorTick, [this](steady_time now) {
        if (!m_stopping && m_sync->isReady()) {
            m_coordinator->tick(now);
        }
    });
    m_loop.every(upstreamExpiryTick, [this](steady_time now) { m_upstreamClient.expire(now); });
}

void daemon::state::handleControl(const wire::Request &request,
                                  const control_messenger::responder &respond, steady_time now)
{
    wire::Reply reply;
    switch (request.body_case()) {
    case wire::Request::kPull:
        *reply.mutable_pull() = m_sync->respondToPull(request.pull(), fromWire(request.sender()));
        addQuarantine(m_quarantine, now, *reply.mutable_pull());
        break;
    case wire::Request::kPing: {
        const auto uptime = std::chrono::duration_cast<milliseconds>(now - m_started);
        reply.mutable_ping()->set_uptime_ms(static_cast<uint64_t>(uptime.count()));
        reply.mutable_ping()->set_revision(m_sync->revision());
        break;
    }
    case wire::Request::kProbe:
        m_coordinator->onProbe(request.probe(), respond);
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
    m_instances.setView(*view, now);
    m_coordinator->onView(view, now);
    // Records of a view that may be older than one in force must not lead to claims.
    if (m_sync->isReady()) {
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
            m_announcer->setSlots(m_stopping ? 0 : announcement.slots);
            break;
        case upstream_state::Draining:
            m_engine->startShutdown(now);
            m_announcer->setSlots(0);
            break;
        case upstream_state::Down:
            m_engine->onUpstreamDown(now);
            m_announcer->setSlots(0);
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
    const auto begun = std::chrono::steady_clock::now();
    const auto deadline = begun + m_settings.stopTimeout;
    m_log.write(log_level::Info, "graceful shutdown begins");
    m_stopping = true;
    m_noNewWorkAt = (begun + newWorkAfterStop).time_since_epoch().count();
    m_loop.post([this](steady_time now) {
        m_announcer->setSlots(0);
        m_engine->startShutdown(now);
    });
    bool complete = waitUntil(deadline, [this] { return m_engineDrained.load(); });
    waitUntil(std::min(deadline, begun + stopAnnouncementTime), [] { return false; });
    m_callers->server().stopListening();
    // A connection whose request has not been read yet is not in flight.
    const auto acceptedDeadline = std::chrono::steady_clock::now() + acceptedRequestTime;
    waitUntil(std::min(deadline, acceptedDeadline),
              [this] { return m_callers->server().connectionCount() == 0; });
    complete &= waitUntil(deadline, [this] { return m_requestRouter->inFlight() == 0; });
    m_loop.post([this](steady_time) { m_announcer->withdraw(); });
    const auto withdrawDeadline = std::chrono::steady_clock::now() + withdrawTime;
    const bool withdrawn = waitUntil(withdrawDeadline, [this] { return m_withdrawn.load(); });
    m_log.write(log_level::Info,
                absl::StrCat("graceful shutdown ends, requests in flight ",
                             m_requestRouter->inFlight(), ", member record ",
                             withdrawn ? "deleted" : "left for the coordinator"));
    return complete;
}

bool daemon::state::rejectsNewRequests(steady_time now) const
{
    if (now.time_since_epoch().count() >= m_noNewWorkAt) {
        return true;
    }
    const auto upstream = m_upstreamClient.status(now);
    return upstream.state == upstream_state::Draining
        && upstream.timeSinceDraining >= newWorkAfterStop;
}

std::string daemon::state::notReadyReason() const
{
    if (m_stopping) {
        return "stopping";
    }
    if (!m_sync->isReady()) {
        return "state incomplete";
    }
    return {};
}

std::string daemon::state::describeState()
{
    const auto view = m_sync->view();
    const auto upstream = m_upstreamClient.status(std::chrono::steady_clock::now());
    Poco::JSON::Object state;
    state.set("instance", toString(m_self));
    state.set("ready", m_sync->isReady());
    state.set("relay", m_sync->isRelay());
    state.set("revision", m_sync->revision());
    state.set("members", view->members.size());
    state.set("records", view->records.size());
    state.set("documents", view->documents.size());
    state.set("upstream", std::string(toString(upstream.state)));
    std::ostringstream out;
    state.stringify(out);
    return out.str();
}

} // namespace persimmonrail
