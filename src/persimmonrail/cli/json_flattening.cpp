#include "persimmonrail/cli/json_flattening.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;
using flattened_json = std::vector<std::pair<std::string, std::string>>;

// Limits recursion; the flattened objects and responses nest only a few levels.
constexpr size_t maxDepth = 32;

// Escapes control characters as \xNN, because the operator's terminal would interpret them.
std::string escapeControlCharacters(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            absl::StrAppend(&escaped, "\\x",
                            absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
        } else {
            escaped.push_back(c);
        }
    }
    return escaped;
}

void appendFlattened(const std::string &path, const Var &value, flattened_json &fields)
{
    if (value.type() == typeid(Object::Ptr)) {
        const auto &object = value.extract<Object::Ptr>();
        for (const auto &name : object->getNames()) {
            const std::string field = escapeControlCharacters(name);
            appendFlattened(path.empty() ? field : absl::StrCat(path, ".", field),
                            object->get(name), fields);
        }
    } else if (value.type() == typeid(Array::Ptr)) {
        const auto &array = value.extract<Array::Ptr>();
        for (unsigned i = 0; i < array->size(); ++i) {
            appendFlattened(absl::StrCat(path, "[", i, "]"), array->get(i), fields);
        }
    } else {
        fields.emplace_back(
            path, value.isEmpty() ? "null" : escapeControlCharacters(value.convert<std::string>()));
    }
}

} // namespace

absl::StatusOr<flattened_json> flattenJson(std::string_view json)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maxDepth);
        const Var value = parser.parse(std::string(json));
        if (value.type() != typeid(Object::Ptr)) {
            return absl::InvalidArgumentError("not a JSON object");
        }
        flattened_json fields;
        appendFlattened("", value, fields);
        return fields;
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError(absl::StrCat("not valid JSON: ", error.displayText()));
    }
}

} // namespace persimmonrail
