#include "persimmonrail/keyspace/key_state.h"

namespace persimmonrail {

std::string_view toString(key_state state)
{
    switch (state) {
    case key_state::Served:
        return "served";
    case key_state::Moving:
        return "moving";
    case key_state::NotRecorded:
        return "not-recorded";
    case key_state::NotGranted:
        return "not-granted";
    }
    return "served";
}

std::optional<key_state> parseKeyState(std::string_view name)
{
    for (const key_state state :
         {key_state::Served, key_state::Moving, key_state::NotRecorded, key_state::NotGranted}) {
        if (toString(state) == name) {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace persimmonrail
