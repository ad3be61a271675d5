#pragma once

#include "persimmonrail/proxy/request_proxy.h"

namespace persimmonrail {

// Computes one explanation from the state of a request_proxy, by the functions that proxied_call
// uses. Not thread safe.
class request_explainer
{
public:
    // The references must outlive the object.
    request_explainer(const request_proxy &proxy, const explained_request &request,
                      steady_time now);

    request_explanation explain();

private:
    using service_state = request_proxy::service_state;

    void explainServices(const route &route, request_explanation &result);
    explained_service explainService(const std::string &service, bool isKeyed) const;
    // Returns the request as it would be forwarded.
    proxied_request forwardedRequest(const route &route) const;
    void explainOwner(const service_state &state, explained_service &result) const;
    void explainCandidates(const service_state &state, explained_service &result) const;
    explained_member describe(const member_assessment &assessed) const;
    // Adds what would reject the request if it were sent to the member.
    void addRejections(const explained_member &member, explained_service &result) const;
    // Returns the rejection of the request's body; nullopt if it is admitted.
    std::optional<proxy_result> bodyRejection(body_demand demand) const;
    // Adds a rejection, or its chance to one for the same reason.
    void add(explained_service &result, const proxy_result &rejected, double chance,
             bool isBesideUpstream) const;
    explained_rejection describe(const proxy_result &rejected, bool isBesideUpstream) const;

    const request_proxy &m_proxy;
    const explained_request &m_asked;
    const steady_time m_now;
    const std::shared_ptr<const fleet_directory> m_directory;
    proxied_request m_request;
};

} // namespace persimmonrail
