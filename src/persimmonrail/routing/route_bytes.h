#pragma once

#include <map>
#include <mutex>
#include <string>

namespace persimmonrail {

// Mean size of the responses of each route, in bytes. Thread safe.
class route_bytes
{
public:
    void record(const std::string &route, double bytes);
    // Returns 0 for a route without responses so far.
    double mean(const std::string &route) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_means;
};

} // namespace persimmonrail
