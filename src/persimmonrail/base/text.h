#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace persimmonrail {

// Converts a std::string_view. The Abseil packages of Debian define absl::string_view as a type of
// its own, which does not convert from std::string_view.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace persimmonrail
