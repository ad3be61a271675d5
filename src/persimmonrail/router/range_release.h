#pragma once

#include "persimmonrail/router/router.h"

#include <string>
#include <vector>

namespace persimmonrail {

// A grant that is to be released, and the upstream that gets its keys then.
struct release_order
{
    range_grant grant;
    upstream_id target;
};

struct released_range
{
    range_grant grant;
    upstream_id target;
    // Empty if the upstream gave none, since its process is gone.
    std::string handover;
};

struct release_outcome
{
    std::vector<released_range> released;
    // Of the releases that may not have happened.
    std::vector<absl::Status> failures;
};

// Releases grants at one upstream. Each release waits for the work that runs on its keys, so they
// run at the same time, and the whole takes as long as the longest of them. Blocks.
release_outcome releaseAll(const grant_api &grants, const std::string &address,
                           const std::vector<release_order> &orders);

} // namespace persimmonrail
