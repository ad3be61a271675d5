#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonrail {

// Identifies one run of one daemon. A restarted daemon keeps its name and draws a new incarnation,
// because it has forgotten every promise that the earlier run made.
struct instance_id
{
    std::string name;
    uint64_t incarnation = 0;

    bool operator==(const instance_id &) const = default;
    auto operator<=>(const instance_id &other) const
    {
        return std::tie(name, incarnation) <=> std::tie(other.name, other.incarnation);
    }
    bool isNull() const { return name.empty(); }
};

// Returns "name/incarnation" with the incarnation in 16 hexadecimal digits.
std::string toString(const instance_id &id);

// Draws an incarnation from the system's random device; never 0.
uint64_t generateIncarnation();

} // namespace persimmonrail
