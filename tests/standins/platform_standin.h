#pragma once

#include "standins/object_store.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace standins {

// Numbers of requests to the object API since the start, including rejected requests.
struct platform_calls
{
    uint64_t reads = 0;
    uint64_t writes = 0;
    // Watch requests that wait at present.
    uint64_t waitingWatches = 0;
    // Requests rejected with status 429 because the rate budget was used up.
    uint64_t refused = 0;
};

// In-memory stand-in for the platform's object API, served over HTTP. Tests inject faults through
// the methods below or over HTTP:
//
//   POST /control/outage?state=on|off     rejects every request with 503, including waiting watches
//   POST /control/delay?ms=N              delays the handling of every request by N milliseconds
//   POST /control/drop-answers?count=N    applies the next N writes, but closes their connections
//                                         without a response
//   POST /control/compact                 compacts the changes up to the current revision
//   POST /control/budget?reads=N&writes=N changes the rate budget (requests per second)
//   GET  /control/calls                   returns {reads, writes, waiting_watches, refused}
//
// Thread-safe.
class platform_standin
{
public:
    // Listens on `address` ("ip:port"); port 0 selects a free port. Throws Poco::Exception
    // if the address can't be bound.
    explicit platform_standin(const std::string &address = "127.0.0.1:0",
                              platform_budget budget = {});
    ~platform_standin();
    platform_standin(const platform_standin &) = delete;
    platform_standin &operator=(const platform_standin &) = delete;

    // Returns the bound address as "ip:port".
    std::string address() const;
    platform_calls calls() const;

    void setOutage(bool enabled);
    void setDelay(std::chrono::milliseconds delay);
    void dropResponses(int count);
    void compact();
    void setBudget(platform_budget budget);
    // Blocks, without a timeout, until at least `count` watch requests wait.
    void awaitWaitingWatches(uint64_t count);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace standins
