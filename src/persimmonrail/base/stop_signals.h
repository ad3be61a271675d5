#pragma once

#include <csignal>

namespace persimmonrail {

// Lets the main thread of a program wait for SIGTERM or SIGINT.
class stop_signals
{
public:
    // Blocks the signals in this thread and in the threads that it starts, so that only wait()
    // receives them. Construct the object before any thread starts.
    stop_signals();

    // Blocks until one of the signals arrives.
    void wait() const;

private:
    sigset_t m_signals;
};

} // namespace persimmonrail
