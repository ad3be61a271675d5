#pragma once

#include "persimmonrail/settings/daemon_settings.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace persimmonrail {

// One running daemon: all slices wired together.
//
// Thread safe.
class daemon
{
public:
    // Errors: Unavailable if an address can't be bound.
    static absl::StatusOr<std::unique_ptr<daemon>> start(const daemon_settings &settings);
    daemon(const daemon &) = delete;
    daemon &operator=(const daemon &) = delete;
    ~daemon();

    // Graceful shutdown: hands over the partitions, takes no new work, waits for the requests in
    // flight and deletes the member record. Returns false if that took longer than the stop
    // timeout of the settings, in which case requests may be cut off by the destructor.
    bool stop();

    const std::string &callerAddress() const;
    const std::string &peerAddress() const;
    const std::string &adminAddress() const;

private:
    class state;
    explicit daemon(std::unique_ptr<state> state);
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
