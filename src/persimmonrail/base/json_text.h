#pragma once

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace persimmonrail {

// Parses a 64-bit value of exactly 16 hexadecimal digits, as hashToString() writes it. JSON texts
// hold 64-bit values in this form, because JSON numbers lose precision above 2^53. Errors:
// InvalidArgument.
absl::StatusOr<uint64_t> parseHex64(const std::string &text);

// Returns the object as JSON text.
std::string renderJson(const Poco::JSON::Object &object);

// Parses a text that is one JSON object. Throws a Poco::Exception if the text is anything else, has
// a repeated member, of which readers may take the first or the last, or is nested more than 32
// deep.
Poco::JSON::Object::Ptr parseStrictJsonObject(std::string_view text);

// Return a member of an object, or the fallback if the object has no such member. Throw a
// Poco::Exception if the member is missing, is of another type or past the range of the result. The
// functions of Poco convert between types.
std::string textMember(const Poco::JSON::Object &object, const std::string &name);
std::string textMemberOr(const Poco::JSON::Object &object, const std::string &name,
                         const std::string &fallback);
bool flagMember(const Poco::JSON::Object &object, const std::string &name);
bool flagMemberOr(const Poco::JSON::Object &object, const std::string &name, bool fallback);
double numberMemberOr(const Poco::JSON::Object &object, const std::string &name, double fallback);
// Returns the member as an integer of the width that the parser chose.
Poco::Dynamic::Var integerValue(const Poco::JSON::Object &object, const std::string &name);
template <typename Integer>
Integer integerMember(const Poco::JSON::Object &object, const std::string &name)
{
    return integerValue(object, name).convert<Integer>();
}
template <typename Integer>
Integer integerMemberOr(const Poco::JSON::Object &object, const std::string &name, Integer fallback)
{
    return object.has(name) ? integerMember<Integer>(object, name) : fallback;
}

// A JSON object with a list of objects.
struct json_list
{
    Poco::JSON::Object::Ptr object;
    // Positions, among the objects of the list, of those with a repeated member.
    std::set<size_t> ambiguousElements;
};

// Parses a text like parseStrictJsonObject(), but only records a repeated member within an element
// of the list, so that one malformed element does not hide the others.
json_list parseStrictJsonList(std::string_view text);

// Parses `text` as a JSON object and returns decode(object), which is an absl::StatusOr. Errors:
// those of `decode`; InvalidArgument if parseStrictJsonObject() throws or a field has a type other
// than the one that `decode` extracts. `what` names the decoded object in the error message.
template <typename Decode>
auto decodeJson(std::string_view text, const char *what, const Decode &decode)
    -> decltype(decode(Poco::JSON::Object()))
{
    try {
        return decode(*parseStrictJsonObject(text));
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError(
            absl::StrCat("invalid ", what, ": ", error.displayText()));
    }
}

} // namespace persimmonrail
