#include "persimmonrail/base/instance_id.h"

#include <absl/strings/str_cat.h>

#include <random>

namespace persimmonrail {

std::string toString(const instance_id &id)
{
    return absl::StrCat(id.name, "/", absl::Hex(id.incarnation, absl::kZeroPad16));
}

uint64_t generateIncarnation()
{
    std::random_device device;
    uint64_t value = 0;
    while (value == 0) {
        value = (static_cast<uint64_t>(device()) << 32) | device();
    }
    return value;
}

} // namespace persimmonrail
