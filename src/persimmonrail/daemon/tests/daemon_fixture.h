#pragma once

#include "persimmonrail/daemon/daemon.h"
#include "persimmonrail/upstream/announcement.h"
#include "standins/platform_standin.h"
#include "standins/upstream_standin.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// A running daemon with a platform stand-in and an upstream stand-in of the service "photos", whose
// requests any instance may run.
class daemon_fixture
{
public:
    // `configure` may change the settings before the daemon starts.
    explicit daemon_fixture(const std::function<void(daemon_settings &)> &configure = {});

    // Announces the upstream to the daemon once, with the given boot id.
    void announce(const std::string &bootId, bool draining = false);
    // Announces the upstream, because an announcement is valid for 3 s only, and sends a request to
    // the caller port. Repeats both while the reason in the response is one of a
    // daemon that is still starting.
    simple_response
    sendRequest(const std::string &method, const std::string &uri, const std::string &body,
                const std::string &bootId,
                const std::vector<std::pair<std::string, std::string>> &fields = {});
    // Sends a request to the peer port, as another daemon does when it forwards the request.
    simple_response sendForwardedRequest(const std::string &method, const std::string &uri);
    simple_response sendAdminRequest(const std::string &method, const std::string &uri,
                                     const std::string &body = {});

    standins::platform_standin platform;
    std::unique_ptr<upstream_standin> upstream;
    std::unique_ptr<daemon> runningDaemon;
    daemon_settings settings;
};

// Waits until the condition holds; fails the test after a minute.
void waitFor(const std::function<bool()> &condition);

} // namespace persimmonrail
