#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace persimmonrail {

// Debian builds Abseil with its own string_view, which does not convert from the standard one.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace persimmonrail
