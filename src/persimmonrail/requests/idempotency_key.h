#pragma once

#include "persimmonrail/base/clock.h"

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace persimmonrail {

// The value of the header Idempotency-Key: a UUID of version 7, which contains its time of issue.
struct idempotency_key
{
    std::array<uint8_t, 16> bytes{};

    bool operator==(const idempotency_key &) const = default;
    // Returns the time at which the caller issued the key, by the clock of the caller, in whole
    // milliseconds.
    wall_time issuedAt() const;
};

// Returns the key, or InvalidArgument unless the text is a UUID of version 7 in canonical form (36
// characters, hexadecimal digits of either case).
absl::StatusOr<idempotency_key> parseIdempotencyKey(std::string_view text);

} // namespace persimmonrail
