#include "persimmonrail/daemon/daemon.h"

#include "persimmonrail/daemon/daemon_state.h"

namespace persimmonrail {

absl::StatusOr<std::unique_ptr<daemon>> daemon::start(const daemon_settings &settings)
{
    auto newState = std::make_unique<state>(settings);
    if (auto status = newState->start(); !status.ok()) {
        return status;
    }
    return std::unique_ptr<daemon>(new daemon(std::move(newState)));
}

daemon::daemon(std::unique_ptr<state> state)
    : m_state(std::move(state))
{ }

daemon::~daemon() = default;

bool daemon::stop()
{
    return m_state->stop();
}

const std::string &daemon::callerAddress() const
{
    return m_state->callerServer().address();
}

const std::string &daemon::peerAddress() const
{
    return m_state->peerServer().address();
}

const std::string &daemon::adminAddress() const
{
    return m_state->adminServer().address();
}

} // namespace persimmonrail
