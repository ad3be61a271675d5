#include "persimmonrail/cli/json_lines.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;
using json_lines = std::vector<std::pair<std::string, std::string>>;

// Answers of the programs nest a few levels only.
constexpr size_t maxDepth = 32;

// Control characters in a stored value must not reach the operator's terminal.
std::string printable(const std::string &text)
{
    std::string safe;
    for (const char c : text) {
        if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            absl::StrAppend(&safe, "\\x",
                            absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
        } else {
            safe.push_back(c);
        }
    }
    return safe;
}

void append(const std::string &path, const Var &value, json_lines &lines)
{
    if (value.type() == typeid(Object::Ptr)) {
        const auto &object = value.extract<Object::Ptr>();
        for (const auto &name : object->getNames()) {
            const std::string field = printable(name);
            append(path.empty() ? field : absl::StrCat(path, ".", field), object->get(name), lines);
        }
    } else if (value.type() == typeid(Array::Ptr)) {
        const auto &array = value.extract<Array::Ptr>();
        for (unsigned i = 0; i < array->size(); ++i) {
            append(absl::StrCat(path, "[", i, "]"), array->get(i), lines);
        }
    } else {
        lines.emplace_back(path,
                           value.isEmpty() ? "null" : printable(value.convert<std::string>()));
    }
}

} // namespace

absl::StatusOr<json_lines> flattenJson(std::string_view json)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maxDepth);
        const Var value = parser.parse(std::string(json));
        if (value.type() != typeid(Object::Ptr)) {
            return absl::InvalidArgumentError("not a JSON object");
        }
        json_lines lines;
        append("", value, lines);
        return lines;
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError(absl::StrCat("not valid JSON: ", error.displayText()));
    }
}

} // namespace persimmonrail
