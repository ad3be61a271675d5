#include "persimmonrail/base/path_reading.h"

#include "persimmonrail/base/text.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace persimmonrail {

bool hasSeveralReadings(std::string_view path)
{
    return path.find('%') != std::string_view::npos || path.find("//") != std::string_view::npos
        || path.find("/.") != std::string_view::npos;
}

absl::StatusOr<std::string> decodePath(std::string_view path)
{
    std::string decoded;
    try {
        Poco::URI::decode(std::string(path), decoded);
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError(error.displayText());
    }
    std::vector<absl::string_view> segments;
    bool isDirectory = false;
    for (const absl::string_view segment : absl::StrSplit(decoded, '/')) {
        isDirectory = segment.empty() || segment == "." || segment == "..";
        if (segment == ".." && !segments.empty()) {
            segments.pop_back();
        } else if (!isDirectory) {
            segments.push_back(segment);
        }
    }
    return absl::StrCat("/", absl::StrJoin(segments, "/"),
                        isDirectory && !segments.empty() ? "/" : "");
}

} // namespace persimmonrail
