#include "persimmonrail/base/json_text.h"

#include <absl/strings/numbers.h>

#include <sstream>

namespace persimmonrail {

absl::StatusOr<uint64_t> parseHex64(const std::string &text)
{
    constexpr size_t digits = 16;
    uint64_t value = 0;
    if (text.size() != digits || !absl::SimpleHexAtoi(text, &value)) {
        return absl::InvalidArgumentError(absl::StrCat("not a 64-bit hexadecimal value: ", text));
    }
    return value;
}

std::string renderJson(const Poco::JSON::Object &object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

} // namespace persimmonrail
