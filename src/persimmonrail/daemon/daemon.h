#pragma once

#include "persimmonrail/settings/daemon_settings.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace persimmonrail {

// A running daemon: its servers, its control thread and the components that they use.
//
// Thread safe.
class daemon
{
public:
    // Starts a daemon and returns it once its servers listen.
    //
    // Errors: Unavailable if an address can't be bound.
    static absl::StatusOr<std::unique_ptr<daemon>> start(const daemon_settings &settings);
    daemon(const daemon &) = delete;
    daemon &operator=(const daemon &) = delete;
    ~daemon();

    // Shuts down gracefully: moves the partitions to their standbys or releases them, stops
    // accepting requests, waits for the requests in flight and deletes the member record. Returns
    // false if the partitions or requests in flight were not finished within the stop timeout of
    // the settings; the destructor may then interrupt requests.
    bool stop();

    // The bound addresses, with the actual port if the settings ask for port 0.
    const std::string &callerAddress() const;
    const std::string &peerAddress() const;
    const std::string &adminAddress() const;

private:
    class state;
    explicit daemon(std::unique_ptr<state> state);
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
