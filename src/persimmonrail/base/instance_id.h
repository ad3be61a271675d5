#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonrail {

// Identifies one run of one daemon. A restarted daemon keeps its name but generates a new
// incarnation, because the commitments of the earlier run, such as lease grants, were kept in
// memory only and are lost.
struct instance_id
{
    std::string name;
    uint64_t incarnation = 0;

    bool operator==(const instance_id &) const = default;
    auto operator<=>(const instance_id &other) const
    {
        return std::tie(name, incarnation) <=> std::tie(other.name, other.incarnation);
    }
    // Returns whether the id names no instance.
    bool isNull() const { return name.empty(); }
};

// Returns "name/incarnation" with the incarnation in 16 hexadecimal digits.
std::string toString(const instance_id &id);

// Returns a random incarnation from the system's random device. The result is never 0.
uint64_t generateIncarnation();

} // namespace persimmonrail
