#include "persimmonrail/base/stop_signals.h"

namespace persimmonrail {

stop_signals::stop_signals()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
}

void stop_signals::wait() const
{
    int received = 0;
    sigwait(&m_signals, &received);
}

} // namespace persimmonrail
