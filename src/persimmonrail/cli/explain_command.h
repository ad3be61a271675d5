#pragma once

#include "persimmonrail/cli/cli_session.h"

#include <string>
#include <utility>
#include <vector>

namespace persimmonrail {

// A question to a router daemon.
struct router_question
{
    // "ip:port" of the daemon's metrics address.
    std::string address;
    // Query parameters and their values, not percent-encoded.
    std::vector<std::pair<std::string, std::string>> parameters;
    // Whether the daemon's response is printed as it is, instead of as text for people.
    bool asJson = false;
};

// Prints where a router daemon would send a request now, and why; the daemon sends nothing. Returns
// NoRoute, MissingKey or NoDesiredState if the daemon says so, DaemonUnreachable if it does not
// respond, and Failed if it rejects the question for another reason.
cli_exit explainRequest(const cli_session &session, const router_question &question);

} // namespace persimmonrail
