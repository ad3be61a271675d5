#pragma once

#include "persimmonrail/base/clock.h"

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace persimmonrail {

// The value of Idempotency-Key: a UUID of version 7, which states when it was issued.
struct idempotency_key
{
    std::array<uint8_t, 16> bytes{};

    bool operator==(const idempotency_key &) const = default;
    // Time at which the caller issued the key, by the caller's clock, in whole milliseconds.
    wall_time issuedAt() const;
};

// Errors: InvalidArgument unless the text is a UUID of version 7 in its canonical form.
absl::StatusOr<idempotency_key> parseIdempotencyKey(std::string_view text);

} // namespace persimmonrail
