#include "persimmonrail/requests/idempotency_key.h"

namespace persimmonrail {
namespace {

constexpr size_t textLength = 36;
// Bytes 0 to 5 hold the milliseconds since the Unix epoch, most significant first.
constexpr size_t timestampBytes = 6;

bool isHyphenPosition(size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

// Returns the value of a hexadecimal digit, or -1 for any other character.
int digitValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

absl::Status malformedKeyError()
{
    return absl::InvalidArgumentError("the idempotency key is not a UUID of version 7");
}

} // namespace

wall_time idempotency_key::issuedAt() const
{
    int64_t value = 0;
    for (size_t i = 0; i < timestampBytes; ++i) {
        value = (value << 8) | bytes[i];
    }
    return wall_time(milliseconds(value));
}

absl::StatusOr<idempotency_key> parseIdempotencyKey(std::string_view text)
{
    if (text.size() != textLength) {
        return malformedKeyError();
    }
    idempotency_key key;
    size_t digitCount = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        if (isHyphenPosition(i)) {
            if (text[i] != '-') {
                return malformedKeyError();
            }
            continue;
        }
        const int value = digitValue(text[i]);
        if (value < 0) {
            return malformedKeyError();
        }
        auto &byte = key.bytes[digitCount / 2];
        byte = static_cast<uint8_t>((byte << 4) | value);
        ++digitCount;
    }
    const bool isVersion7 = (key.bytes[6] >> 4) == 7;
    const bool isRfcVariant = (key.bytes[8] >> 6) == 2;
    if (!isVersion7 || !isRfcVariant) {
        return malformedKeyError();
    }
    return key;
}

} // namespace persimmonrail
