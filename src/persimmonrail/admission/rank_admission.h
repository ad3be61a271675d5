#pragma once

#include "persimmonrail/admission/admission_queue.h"
#include "persimmonrail/document/service_document.h"
#include "persimmonrail/gateway/gateway_hooks.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// Inputs of admission control from the upstream and from the service document.
struct admission_source
{
    // 0 if the upstream has not announced itself.
    int slots = 0;
    // Identifies one incarnation of the upstream; a change means that the upstream has restarted.
    std::string bootId;
    // Null until a document has been accepted. All requests then have the same rank.
    std::shared_ptr<const service_document> document;
};

// Blocking interface to admission_queue for the threads that serve requests; implements the hook
// gateway_hooks::admit. This class is thread-safe. Tickets may outlive the object.
class rank_admission
{
public:
    // `source` is called for each admission and must be thread-safe.
    rank_admission(const admission_options &options, std::function<admission_source()> source);
    ~rank_admission();

    // Blocks until the request may run, is rejected, or reaches its deadline. A request that
    // reaches its deadline is rejected with "deadline-unreachable". The request occupies a slot
    // until the returned ticket is finished or destroyed.
    admission_result admit(const admission_request &request, steady_time now);

    // Present concurrency limit and number of running requests; 0 before the first admission.
    int limit() const;
    int running() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace persimmonrail
