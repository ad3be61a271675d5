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

// One daemon with its platform and an upstream of service "photos", which any instance runs.
class single_daemon
{
public:
    explicit single_daemon(const std::function<void(daemon_settings &)> &change = {});

    // Announces the upstream once, under `bootId`.
    void announce(const std::string &bootId, bool draining = false);
    // Sends a request and announces the upstream before, since an announcement is valid for 3 s.
    // Repeats it until its reason is none of those of a daemon that is not set up yet.
    simple_response call(const std::string &method, const std::string &uri, const std::string &body,
                         const std::string &bootId,
                         const std::vector<std::pair<std::string, std::string>> &fields = {});
    // Sends a request as another daemon does.
    simple_response forward(const std::string &method, const std::string &uri);
    simple_response admin(const std::string &method, const std::string &uri,
                          const std::string &body = {});

    standins::platform_standin platform;
    std::unique_ptr<upstream_standin> upstream;
    std::unique_ptr<daemon> running;
    daemon_settings settings;
};

// Waits until the condition holds; fails the test after a minute.
void waitFor(const std::function<bool()> &condition);

} // namespace persimmonrail
