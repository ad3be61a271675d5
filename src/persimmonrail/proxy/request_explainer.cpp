#include "persimmonrail/proxy/request_explainer.h"

#include "persimmonrail/proxy/call_decisions.h"

#include <algorithm>
#include <numeric>

namespace persimmonrail {
namespace {

// Bounds the response for services with very many upstreams.
constexpr size_t maxMembers = 256;

} // namespace

double explained_service::rejectionChance() const
{
    return std::accumulate(
        rejections.begin(), rejections.end(), 0.0,
        [](double sum, const explained_rejection &entry) { return sum + entry.chance; });
}

bool request_explanation::lacksKey() const
{
    return !services.empty()
        && std::all_of(services.begin(), services.end(), [](const explained_service &service) {
               return !service.rejections.empty()
                   && service.rejections.front().reason == proxy_reason::MissingKey;
           });
}

request_explainer::request_explainer(const request_proxy &proxy, const explained_request &request,
                                     steady_time now)
    : m_proxy(proxy)
    , m_asked(request)
    , m_now(now)
    , m_directory(proxy.m_hooks.directory())
{ }

request_explanation request_explainer::explain()
{
    request_explanation result;
    result.zone = m_proxy.m_options.availabilityZone;
    result.local = m_proxy.m_dispatcher.local();
    result.localLoad = m_proxy.m_dispatcher.load(m_now);
    result.table = m_proxy.m_hooks.routes();
    result.directoryRevision = m_directory->revision();
    result.directoryEpoch = m_directory->epoch();
    const route_decision decided = decideRoute(result.table.get(), m_asked.host, m_asked.path,
                                               false, m_proxy.m_hooks.isClosed());
    result.found = decided.found;
    if (decided.reason != proxy_reason::None) {
        result.rejected = describe(notRunResult(decided.reason, decided.retryAfter), false);
        return result;
    }
    m_request = forwardedRequest(*decided.found);
    if (m_proxy.m_options.detectsCallerRetries && m_asked.timeout) {
        result.retryAge =
            m_proxy.m_attemptAges.peekEstimate(decided.found->name, *m_asked.timeout, m_now);
        m_request.objectiveEnd -= result.retryAge;
        if (m_proxy.m_options.schedulesReturns && result.retryAge.count() > 0) {
            m_request.callerAttempt = caller_attempt::DueRetry;
        }
    }
    explainServices(*decided.found, result);
    return result;
}

proxied_request request_explainer::forwardedRequest(const route &route) const
{
    proxied_request request;
    request.message.setMethod(m_asked.method);
    request.message.setURI(m_asked.path);
    request.message.set("Host", m_asked.host);
    request.callerService = m_proxy.m_options.callerService;
    applyRoute(request, route);
    request.deadline =
        callDeadline(m_asked.timeout, route, m_now, m_proxy.m_hooks.shutdownDeadline());
    request.objectiveEnd = m_now + route.objective;
    if (m_proxy.m_options.schedulesReturns
        || m_proxy.m_options.zoneShare.crossingCost.count() > 0) {
        request.callerZone = m_proxy.m_options.availabilityZone;
    }
    return request;
}

void request_explainer::explainServices(const route &route, request_explanation &result)
{
    const std::vector<traffic_share> &shares = route.trafficShares;
    const double total =
        std::accumulate(shares.begin(), shares.end(), 0.0, [](double sum, const traffic_share &s) {
            return sum + std::max(s.weight, 0);
        });
    for (const traffic_share &share : shares) {
        // chooseTrafficShare() takes the first one if no share has a weight.
        const bool isOnlyChoice = total == 0 && &share == &shares.front();
        if (share.weight <= 0 && !isOnlyChoice) {
            continue;
        }
        const service_rule *rule = result.table->findService(share.service);
        m_request.service = share.service;
        m_request.key.reset();
        explained_service service = explainService(share.service, rule != nullptr && rule->isKeyed);
        service.share = isOnlyChoice ? 1 : share.weight / total;
        result.services.push_back(std::move(service));
    }
}

explained_service request_explainer::explainService(const std::string &service, bool isKeyed) const
{
    explained_service result;
    result.service = service;
    result.isKeyed = isKeyed;
    if (isKeyed && !m_asked.key) {
        add(result, notRunResult(proxy_reason::MissingKey), 1, false);
        return result;
    }
    // A service to which no request was sent has the state that its first request creates.
    const service_state *known = m_proxy.findService(service);
    upstream_picker_options pickerOptions;
    pickerOptions.zoneShare = m_proxy.m_options.zoneShare;
    const service_state fresh(
        m_proxy.m_options, pickerOptions, [] { return uint64_t{0}; }, m_now);
    const service_state &state = known != nullptr ? *known : fresh;
    body_demand body;
    body.usesDaemon = true;
    if (const auto rejected = bodyRejection(body)) {
        // The daemon does not attempt the request.
        add(result, *rejected, 1, false);
        result.rejections.back().isTriedAgain = false;
        return result;
    }
    if (isKeyed) {
        explainOwner(state, result);
    } else {
        explainCandidates(state, result);
    }
    return result;
}

explained_member request_explainer::describe(const member_assessment &assessed) const
{
    explained_member result;
    result.member = *assessed.member;
    result.time = assessed.time;
    result.failures = assessed.failures;
    result.penaltyLeft = assessed.penaltyLeft;
    result.chance = assessed.chance;
    result.isLocal = assessed.member->id == m_proxy.m_dispatcher.local().id;
    result.isZoneEvacuated = m_directory->isEvacuated(assessed.member->availabilityZone);
    result.isAvoided = m_proxy.m_peers.liveness().shouldAvoid(assessed.member->peerAddress, m_now);
    return result;
}

void request_explainer::explainOwner(const service_state &state, explained_service &result) const
{
    if (const auto *placement = m_directory->findPlacement(result.service)) {
        result.owner = explained_owner{placement->placement.rangeOf(*m_asked.key),
                                       placement->version, placement->epoch};
    }
    const upstream_member *owner = findServingOwner(*m_directory, result.service, *m_asked.key);
    if (owner == nullptr) {
        add(result, missingMemberResult(*m_directory, result.service, m_asked.key), 1, false);
        return;
    }
    result.owner->isServing = true;
    explained_member member = describe(state.picker.assess({owner}, {owner}, m_now).members[0]);
    member.chance = 1;
    proxied_request request = m_request;
    request.key = m_asked.key;
    request.upstream = owner->id;
    result.throttle = state.throttle.expect(throttleClassOf(request, owner->id), m_now);
    if (member.isLocal) {
        result.local = m_proxy.m_dispatcher.assess(request, m_asked.bytes > 0, m_now);
    }
    if (member.penaltyLeft.count() > 0) {
        add(result, notRunResult(proxy_reason::PeerUnreachable), 1, false);
    } else {
        addRejections(member, result);
    }
    result.members.push_back(std::move(member));
}

void request_explainer::explainCandidates(const service_state &state,
                                          explained_service &result) const
{
    const std::vector<const upstream_member *> open = openMembers(*m_directory, result.service);
    std::vector<const upstream_member *> candidates = open;
    std::erase_if(candidates, [this](const upstream_member *member) {
        return m_proxy.m_peers.liveness().shouldAvoid(member->peerAddress, m_now);
    });
    const double bytes =
        static_cast<double>(m_asked.bytes) + state.responseBytes.mean(m_request.route);
    body_transfer body;
    if (m_proxy.m_options.countsTransferTime) {
        body = {static_cast<double>(m_asked.bytes), m_proxy.m_options.linkBytesPerSecond,
                m_proxy.m_dispatcher.local().id};
    }
    const picker_assessment assessed =
        state.picker.assess(m_directory->membersOf(result.service),
                            candidates.empty() ? open : candidates, m_now, bytes, body);
    result.usesZoneShare = state.picker.usesZoneShare();
    result.split = assessed.split;
    result.zonesAge = assessed.zonesAge;
    result.throttle = state.throttle.expect(throttleClassOf(m_request, {}), m_now);
    for (const member_assessment &entry : assessed.members) {
        result.members.push_back(describe(entry));
    }
    std::stable_sort(result.members.begin(), result.members.end(),
                     [](const auto &a, const auto &b) { return a.chance > b.chance; });
    if (open.empty()) {
        add(result, missingMemberResult(*m_directory, result.service, std::nullopt), 1, false);
    }
    for (const explained_member &member : result.members) {
        if (member.isLocal) {
            proxied_request request = m_request;
            request.upstream = member.member.id;
            result.local = m_proxy.m_dispatcher.assess(request, m_asked.bytes > 0, m_now);
        }
        addRejections(member, result);
    }
    if (result.members.size() > maxMembers) {
        result.membersLeftOut = result.members.size() - maxMembers;
        result.members.resize(maxMembers);
    }
}

void request_explainer::addRejections(const explained_member &member,
                                      explained_service &result) const
{
    body_demand body;
    body.usesUpstream = member.isLocal;
    if (!member.isLocal) {
        body.link = link_direction::Outbound;
        body.objectiveEnd = m_request.objectiveEnd;
    }
    const std::optional<proxy_result> bodyRejected = bodyRejection(body);
    if (member.isLocal) {
        if (bodyRejected) {
            add(result, *bodyRejected, member.chance, true);
        } else if (result.local && result.local->rejected) {
            add(result, *result.local->rejected, member.chance, true);
        }
        return;
    }
    const double throttled = result.throttle.rejectionChance;
    add(result, notRunResult(proxy_reason::OverloadExpected, result.throttle.retryAfter),
        member.chance * throttled, false);
    if (bodyRejected) {
        add(result, *bodyRejected, member.chance * (1 - throttled), false);
    } else if (!m_proxy.m_peers.liveness().mayBegin(member.member.peerAddress, m_now)) {
        add(result, notRunResult(proxy_reason::PeerSilent), member.chance * (1 - throttled), false);
    }
}

std::optional<proxy_result> request_explainer::bodyRejection(body_demand demand) const
{
    demand.bytes = m_asked.bytes;
    const auto rejected = m_proxy.m_bodies.peekRejection(demand, m_now);
    return rejected ? std::optional(notRunResult(proxy_reason::BodyBudget, rejected->retryAfter))
                    : std::nullopt;
}

void request_explainer::add(explained_service &result, const proxy_result &rejected, double chance,
                            bool isBesideUpstream) const
{
    if (chance <= 0) {
        return;
    }
    explained_rejection added = describe(rejected, isBesideUpstream);
    added.chance = chance;
    added.isTriedAgain = rejected.reason != proxy_reason::MissingKey && isRetryable(rejected.reason)
        && mayHelpToRetry(rejected.reason, result.isKeyed)
        && !(rejected.reason == proxy_reason::Evacuated
             && isServiceEvacuated(*m_directory, result.service));
    const auto same = std::find_if(
        result.rejections.begin(), result.rejections.end(), [&](const explained_rejection &entry) {
            return entry.reason == added.reason && entry.isBesideUpstream == isBesideUpstream;
        });
    if (same == result.rejections.end()) {
        result.rejections.push_back(added);
    } else {
        same->chance += chance;
    }
}

explained_rejection request_explainer::describe(const proxy_result &rejected,
                                                bool isBesideUpstream) const
{
    explained_rejection result;
    result.reason = rejected.reason;
    result.isBesideUpstream = isBesideUpstream;
    result.status = statusFor(rejected.reason, rejected.outcome);
    if (result.status == 503) {
        result.retryAfter =
            statedRetryAfter(rejected.retryAfter, m_proxy.m_options.defaultRetryAfter);
    }
    return result;
}

} // namespace persimmonrail
