#pragma once

#include "persimmonrail/routing/zone_share.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Returns whether a zone's name can be written into a summary or a line of arrivals: 1 to 64 ASCII
// letters, digits, '-', '_' and '.'.
bool isPlainZoneName(std::string_view zone);

// Encodes the states of at most 8 zones for the header field between daemons:
// "zone:upstreams:slots:running:waiting:capacity:demand:age" for each, separated by commas, with
// the age of the report in milliseconds at `now`. Leaves out zones whose names are not plain.
std::string encodeZoneSummary(const std::vector<zone_load> &zones, steady_time now);
// Returns the states, with the times of their reports by this daemon's clock. Returns an empty list
// if the text is malformed or longer than 1,024 characters.
std::vector<zone_load> parseZoneSummary(std::string_view text, steady_time now);

} // namespace persimmonrail
