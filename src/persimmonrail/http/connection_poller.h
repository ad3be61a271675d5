#pragma once

#include "persimmonrail/base/clock.h"

#include <vector>

namespace persimmonrail {

// Waits for input on any number of connections with one thread, so that an idle connection needs
// no thread of its own. Uses epoll directly, because the PollSet of the packaged Poco version has
// no call that interrupts a wait.
//
// Invariant: each add() or rearm() reports its descriptor at most once.
// Thread safe, except that only one thread at a time may call wait().
class connection_poller
{
public:
    // Throws std::system_error if the process has no free descriptor.
    connection_poller();
    connection_poller(const connection_poller &) = delete;
    connection_poller &operator=(const connection_poller &) = delete;
    ~connection_poller();

    // Registers `descriptor`. wait() reports `context`, which must not be null, once `descriptor`
    // has input or its peer has closed the connection, including when either is the case already.
    // Returns false if the descriptor can't be registered.
    [[nodiscard]] bool add(int descriptor, void *context);
    // Does the same as add() for a descriptor that is registered already.
    [[nodiscard]] bool rearm(int descriptor, void *context);
    // Removes the registration of a descriptor. Closing a descriptor removes it as well.
    void remove(int descriptor);
    // Interrupts the current wait(), or the next one if no wait() is in progress.
    void wake();
    // Waits for at most `timeout`. Replaces `contexts` with the contexts of the descriptors that
    // have input. `contexts` may be empty, for example after wake().
    void wait(milliseconds timeout, std::vector<void *> &contexts);

private:
    [[nodiscard]] bool setInterest(int operation, int descriptor, void *context);

    int m_epoll;
    int m_wakeEvent;
};

} // namespace persimmonrail
