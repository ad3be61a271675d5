#pragma once

#include <optional>
#include <string_view>

namespace persimmonrail {

// Whether the daemon beside an upstream lets it serve a key now, and if not, why.
enum class key_state {
    Served,
    // Released, or about to be released, for a move.
    Moving,
    // Recorded for another upstream, or for none.
    NotRecorded,
    // Recorded for the upstream, without a grant in force.
    NotGranted,
};

std::string_view toString(key_state state);
// Returns nullopt if no state has this name.
std::optional<key_state> parseKeyState(std::string_view name);

} // namespace persimmonrail
