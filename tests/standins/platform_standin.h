#pragma once

#include "standins/object_store.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace standins {

// Calls since the start, refused ones included.
struct platform_calls
{
    uint64_t reads = 0;
    uint64_t writes = 0;
    uint64_t waitingWatches = 0;
    // Calls answered with 429.
    uint64_t refused = 0;
};

// In-memory stand-in for the platform's object API, served over HTTP. The same faults can be set
// in-process and over HTTP:
//
//   POST /control/outage?state=on|off     answers 503 to every call, waiting watches included
//   POST /control/delay?ms=N              delays every answer
//   POST /control/drop-answers?count=N    applies the next N writes but closes their connections
//   POST /control/compact                 forgets the changes up to the current revision
//   POST /control/budget?reads=N&writes=N changes the rate budget
//   GET  /control/calls                   {reads, writes, waiting_watches, refused}
//
// Thread safe.
class platform_standin
{
public:
    // Listens on `address` ("ip:port"); port 0 takes an ephemeral port.
    explicit platform_standin(const std::string &address = "127.0.0.1:0",
                              platform_budget budget = {});
    ~platform_standin();
    platform_standin(const platform_standin &) = delete;
    platform_standin &operator=(const platform_standin &) = delete;

    // "ip:port" that the stand-in listens on.
    std::string address() const;
    platform_calls calls() const;

    void setOutage(bool enabled);
    void setDelay(std::chrono::milliseconds delay);
    void dropResponses(int count);
    void compact();
    void setBudget(platform_budget budget);
    // Blocks until this many watches are waiting.
    void awaitWaitingWatches(uint64_t count);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace standins
