#include "persimmonrail/http/guarded_fields.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace persimmonrail {
namespace {

constexpr std::string_view connectionField = "Connection";

char foldSpelling(char c)
{
    return c == '_' ? '-' : absl::ascii_tolower(static_cast<unsigned char>(c));
}

bool hasPrefix(std::string_view name, std::string_view prefix)
{
    return !prefix.empty() && isSameField(name.substr(0, prefix.size()), prefix);
}

// Returns the position of the field in the list, or nullopt.
std::optional<size_t> findField(std::string_view name, const std::vector<std::string> &names)
{
    const auto found = std::find_if(names.begin(), names.end(), [name](const std::string &known) {
        return isSameField(name, known);
    });
    return found == names.end() ? std::nullopt : std::optional<size_t>(found - names.begin());
}

bool isGuarded(std::string_view name, const guarded_fields &fields)
{
    return hasPrefix(name, fields.prefix) || findField(name, fields.read)
        || findField(name, fields.set);
}

absl::Status violation(std::string_view name, absl::string_view what)
{
    return absl::InvalidArgumentError(absl::StrCat("field '", toAbsl(name), "' ", what));
}

absl::Status checkConnectionOptions(std::string_view options, const guarded_fields &fields)
{
    for (absl::string_view option : absl::StrSplit(toAbsl(options), ',')) {
        option = absl::StripAsciiWhitespace(option);
        const std::string_view name(option.data(), option.size());
        if (isGuarded(name, fields)) {
            return violation(name, "is listed in Connection");
        }
    }
    return absl::OkStatus();
}

// Returns whether more than one line has this name.
bool isRepeated(std::string_view name, const Poco::Net::MessageHeader &message)
{
    const auto isNamed = [name](const auto &field) { return isSameField(field.first, name); };
    return std::count_if(message.begin(), message.end(), isNamed) > 1;
}

} // namespace

bool isSameField(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return foldSpelling(x) == foldSpelling(y);
           });
}

absl::Status checkGuardedFields(const Poco::Net::MessageHeader &message,
                                const guarded_fields &fields)
{
    uint64_t seen = 0;
    for (const auto &[name, value] : message) {
        if (isSameField(name, connectionField)) {
            if (absl::Status status = checkConnectionOptions(value, fields); !status.ok()) {
                return status;
            }
            continue;
        }
        const bool isPrefixed = hasPrefix(name, fields.prefix);
        const auto position = findField(name, fields.read);
        if (!isPrefixed && !position && !findField(name, fields.set)) {
            continue;
        }
        if (absl::StrContains(name, '_')) {
            return violation(name, "is spelled with '_'");
        }
        const uint64_t bit = position ? uint64_t{1} << *position : 0;
        if ((seen & bit) != 0
            || (isPrefixed && fields.readsPrefixed && isRepeated(name, message))) {
            return violation(name, "is repeated");
        }
        seen |= bit;
    }
    return absl::OkStatus();
}

} // namespace persimmonrail
