#pragma once

#include "persimmonrail/base/clock.h"

#include <vector>

namespace persimmonrail {

// Waits for input on any number of connections with one thread, so that an idle connection needs
// no thread of its own. Poco's PollSet of the packaged version has no call that ends a wait.
//
// Invariant: a descriptor is reported at most once for each add() or rearm().
// Thread safe, except that only one thread may wait.
class connection_watch
{
public:
    // Throws std::system_error if the process has no descriptor left.
    connection_watch();
    connection_watch(const connection_watch &) = delete;
    connection_watch &operator=(const connection_watch &) = delete;
    ~connection_watch();

    // Reports `owner` once `descriptor` has input or its peer has closed it; at once if that is so
    // already. False if the descriptor can't be watched.
    [[nodiscard]] bool add(int descriptor, void *owner);
    // The same for a descriptor that was added before.
    [[nodiscard]] bool rearm(int descriptor, void *owner);
    // Forgets a descriptor. One that is closed is forgotten anyway.
    void remove(int descriptor);
    // Ends the present wait, or the next one if there is none.
    void wake();
    // Waits up to `time`, and replaces `owners` by those with input.
    void wait(milliseconds time, std::vector<void *> &owners);

private:
    [[nodiscard]] bool control(int operation, int descriptor, void *owner);

    int m_epoll;
    int m_wake;
};

} // namespace persimmonrail
