#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace persimmonrail {

// Generates malformed input from valid messages. Equal seeds generate equal input on every machine.
// Not thread-safe.
class input_mutator
{
public:
    explicit input_mutator(uint64_t seed);

    // Returns `text` after 1 to 8 random mutations. A mutation changes, removes, repeats or inserts
    // bytes, or truncates the text.
    std::string mutate(std::string text);
    // Returns 1 to `maxBytes` random bytes. `maxBytes` must be positive.
    std::string randomBytes(size_t maxBytes);
    // Returns a mutated copy of a random element of `messages`, or, with probability 1/8, up to 512
    // random bytes. `messages` must not be empty.
    std::string next(const std::vector<std::string> &messages);

private:
    // Returns a random number in [0, limit), or 0 if `limit` is 0.
    size_t randomBelow(size_t limit);

    std::mt19937_64 m_engine;
};

} // namespace persimmonrail
