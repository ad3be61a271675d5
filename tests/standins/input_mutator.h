#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace persimmonrail {

// Makes faulty input from valid messages. The same seed gives the same input on every machine. Not
// thread safe.
class input_mutator
{
public:
    explicit input_mutator(uint64_t seed);

    // Returns a copy with 1 to 8 faults: bytes changed, removed, repeated or inserted, or the end
    // cut off.
    std::string mutate(std::string text);
    // Returns up to `limit` random bytes.
    std::string randomBytes(size_t limit);
    // Returns one of the messages, mutated; in one of 8 cases random bytes instead.
    std::string next(const std::vector<std::string> &messages);

private:
    size_t below(size_t limit);

    std::mt19937_64 m_engine;
};

} // namespace persimmonrail
