#include "persimmonrail/routing/zone_summary.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <optional>

namespace persimmonrail {
namespace {

constexpr size_t maxZones = 8;
constexpr size_t maxLength = 1024;
constexpr size_t maxNameLength = 64;
// Above what any service has; keeps sums of reported values in range.
constexpr double maxRate = 1e7;
constexpr int maxCount = 10'000'000;
constexpr int64_t maxAgeMs = 3'600'000;

bool parseCount(const std::string &text, int &value)
{
    return absl::SimpleAtoi(text, &value) && value >= 0 && value <= maxCount;
}

bool parseRate(const std::string &text, double &value)
{
    // The comparison is false for NaN.
    return absl::SimpleAtod(text, &value) && value >= 0 && value <= maxRate;
}

std::optional<zone_load> parseZone(absl::string_view text, steady_time now)
{
    const std::vector<std::string> fields = absl::StrSplit(text, ':');
    zone_load zone;
    int64_t age = 0;
    if (fields.size() != 8 || !isPlainZoneName(fields[0]) || !parseCount(fields[1], zone.upstreams)
        || !parseCount(fields[2], zone.slots) || !parseCount(fields[3], zone.running)
        || !parseCount(fields[4], zone.waiting) || !parseRate(fields[5], zone.capacity)
        || !parseRate(fields[6], zone.demand) || !absl::SimpleAtoi(fields[7], &age) || age < 0
        || age > maxAgeMs) {
        return std::nullopt;
    }
    zone.zone = fields[0];
    zone.reportedAt = now - milliseconds(age);
    return zone;
}

} // namespace

bool isPlainZoneName(std::string_view zone)
{
    return !zone.empty() && zone.size() <= maxNameLength
        && std::all_of(zone.begin(), zone.end(), [](char c) {
               return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_'
                   || c == '.';
           });
}

std::string encodeZoneSummary(const std::vector<zone_load> &zones, steady_time now)
{
    std::string text;
    size_t count = 0;
    for (const zone_load &zone : zones) {
        if (!isPlainZoneName(zone.zone) || count == maxZones) {
            continue;
        }
        const auto age = std::chrono::duration_cast<milliseconds>(now - zone.reportedAt).count();
        absl::StrAppend(&text, count++ > 0 ? "," : "", zone.zone, ":", zone.upstreams, ":",
                        zone.slots, ":", zone.running, ":", zone.waiting, ":",
                        absl::StrFormat("%.1f:%.1f", zone.capacity, zone.demand), ":",
                        std::max<int64_t>(age, 0));
    }
    return text;
}

std::vector<zone_load> parseZoneSummary(std::string_view text, steady_time now)
{
    std::vector<zone_load> zones;
    if (text.empty() || text.size() > maxLength) {
        return zones;
    }
    for (const absl::string_view part : absl::StrSplit(toAbsl(text), ',')) {
        const auto zone = parseZone(part, now);
        if (!zone || zones.size() == maxZones) {
            return {};
        }
        zones.push_back(*zone);
    }
    return zones;
}

} // namespace persimmonrail
