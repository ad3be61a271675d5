#include "persimmonrail/gateway/request_target.h"

#include "persimmonrail/base/key_hash.h"
#include "persimmonrail/base/text.h"
#include "persimmonrail/http/guarded_fields.h"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <cctype>
#include <random>
#include <vector>

namespace persimmonrail {
namespace {

// Decodes percent-encoding. Errors: InvalidArgument if it is invalid.
absl::StatusOr<std::string> decode(std::string_view text)
{
    try {
        std::string decoded;
        Poco::URI::decode(std::string(text), decoded);
        return decoded;
    } catch (const Poco::Exception &) {
        return absl::InvalidArgumentError("the URI has an invalid percent-encoding");
    }
}

// Returns the percent-decoded values of all query parameters with this name. Errors:
// InvalidArgument if a percent-encoding is invalid.
absl::StatusOr<std::vector<std::string>> queryParameterValues(const std::string &name,
                                                              const std::string &query)
{
    std::vector<std::string> values;
    for (const absl::string_view parameter : absl::StrSplit(query, '&', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> nameAndValue =
            absl::StrSplit(parameter, absl::MaxSplits('=', 1));
        const auto parameterName = decode(nameAndValue.first);
        if (!parameterName.ok()) {
            return parameterName.status();
        }
        if (*parameterName == name) {
            const auto value = decode(nameAndValue.second);
            if (!value.ok()) {
                return value.status();
            }
            values.push_back(*value);
        }
    }
    return values;
}

// Returns the values of all header fields with this name, whose case is ignored.
std::vector<std::string> headerValues(const std::string &name,
                                      const Poco::Net::HTTPRequest &request)
{
    std::vector<std::string> values;
    for (const auto &[field, value] : request) {
        if (Poco::icompare(field, name) == 0) {
            values.push_back(value);
        }
    }
    return values;
}

} // namespace

absl::StatusOr<request_target> parseTarget(const std::string &uri)
{
    const absl::string_view text = uri;
    const size_t pathEnd = text.find('?');
    const absl::string_view path = text.substr(0, pathEnd);
    if (path.empty() || path[0] != '/' || text.find('#') != absl::string_view::npos) {
        return absl::InvalidArgumentError("the URI must begin with '/' and have no fragment");
    }
    for (const absl::string_view segment : absl::StrSplit(path.substr(1), '/')) {
        const auto decoded = decode({segment.data(), segment.size()});
        if (!decoded.ok()) {
            return decoded.status();
        }
        if (*decoded == "." || *decoded == "..") {
            return absl::InvalidArgumentError("the path has a dot segment");
        }
    }
    const size_t serviceEnd = path.find('/', 1);
    request_target target;
    target.service = std::string(path.substr(1, serviceEnd - 1));
    target.path =
        serviceEnd == absl::string_view::npos ? "/" : std::string(path.substr(serviceEnd));
    if (pathEnd != absl::string_view::npos) {
        target.query = std::string(text.substr(pathEnd + 1));
    }
    return target;
}

absl::StatusOr<std::string> extractKey(const key_rule &rule, const request_target &target,
                                       const Poco::Net::HTTPRequest &request)
{
    std::vector<std::string> values;
    switch (rule.source) {
    case key_source::PathSegment: {
        const std::vector<std::string> segments = absl::StrSplit(target.path.substr(1), '/');
        if (rule.segment >= 0 && static_cast<size_t>(rule.segment) < segments.size()) {
            const auto end = segments.begin() + rule.segment + 1;
            for (auto segment = segments.begin(); segment != end; ++segment) {
                const auto decoded = decode(*segment);
                if (!decoded.ok()) {
                    return decoded.status();
                }
                // Another reader may leave out the segment, or split it.
                if (decoded->empty() || absl::StrContains(*decoded, "/")) {
                    return absl::InvalidArgumentError(
                        "a segment up to the key is empty or has an encoded slash");
                }
                values = {*decoded};
            }
        }
        break;
    }
    case key_source::QueryParameter: {
        auto found = queryParameterValues(rule.name, target.query);
        if (!found.ok()) {
            return found.status();
        }
        values = *std::move(found);
        break;
    }
    case key_source::Header:
        if (const absl::Status checked = checkGuardedFields(request, {{rule.name}, {}, "", false});
            !checked.ok()) {
            return checked;
        }
        values = headerValues(rule.name, request);
        break;
    }
    if (values.empty()) {
        return absl::NotFoundError("the request has no key");
    }
    if (values.size() > 1) {
        return absl::InvalidArgumentError("the request has more than one key");
    }
    if (values.front().empty()) {
        return absl::InvalidArgumentError("the key of the request is empty");
    }
    return values.front();
}

bool isUuidV7(std::string_view text)
{
    if (text.size() != 36) {
        return false;
    }
    for (size_t i = 0; i < text.size(); ++i) {
        const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
        if (isDash ? text[i] != '-' : std::isxdigit(static_cast<unsigned char>(text[i])) == 0) {
            return false;
        }
    }
    return text[14] == '7' && std::string_view("89abAB").find(text[19]) != std::string_view::npos;
}

std::string generateRequestId()
{
    thread_local std::mt19937_64 random = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return hashToString(random()) + hashToString(random());
}

} // namespace persimmonrail
