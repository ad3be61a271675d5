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

// Parses a 64-bit value of exactly 16 hexadecimal digits, as hashToString() writes it. JSON texts
// hold 64-bit values in this form, because JSON numbers lose precision above 2^53. Errors:
// InvalidArgument.
absl::StatusOr<uint64_t> parseHex64(const std::string &text);

// Returns the object as JSON text.
std::string renderJson(const Poco::JSON::Object &object);

// Parses `text` as a JSON object and returns decode(object), which is an absl::StatusOr. Errors:
// those of `decode`; InvalidArgument if the text is not a JSON object or a field has a type
// other than the one that `decode` extracts. `what` names the decoded object in the error message.
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
