#pragma once

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonrail {

// Parses 16 hexadecimal digits, the form of 64-bit values in JSON, whose numbers lose precision
// above 2^53; see hashToString(). Errors: InvalidArgument.
absl::StatusOr<uint64_t> parseHex64(const std::string &text);

std::string renderJson(const Poco::JSON::Object &object);

// Parses `text` as a JSON object and returns decode(object), a StatusOr. Errors: those of `decode`;
// InvalidArgument, which names `what`, if the text is no JSON object or a field has another type.
template <typename Decode>
auto decodeJson(std::string_view text, const char *what, const Decode &decode)
    -> decltype(decode(Poco::JSON::Object()))
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(std::string(text)).extract<Poco::JSON::Object::Ptr>();
        return decode(*object);
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError(
            absl::StrCat("invalid ", what, ": ", error.displayText()));
    }
}

} // namespace persimmonrail
