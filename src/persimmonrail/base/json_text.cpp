#include "persimmonrail/base/json_text.h"

#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

#include <absl/strings/numbers.h>

#include <set>
#include <sstream>
#include <vector>

namespace persimmonrail {
namespace {

constexpr size_t maxJsonDepth = 32;

// Builds the value, and throws on a repeated member. Poco's own handler keeps the last one.
class unique_member_handler : public Poco::JSON::ParseHandler
{
public:
    // With `ambiguousElements`, the positions of objects directly below the outermost one are added
    // to it if they have a repeated member.
    explicit unique_member_handler(std::set<size_t> *ambiguousElements)
        : m_ambiguousElements(ambiguousElements)
    { }

    void startObject() override
    {
        ParseHandler::startObject();
        m_elementCount += m_members.size() == 1 ? 1 : 0;
        m_members.emplace_back();
    }
    void endObject() override
    {
        ParseHandler::endObject();
        m_members.pop_back();
    }
    void key(const std::string &name) override
    {
        ParseHandler::key(name);
        if (m_members.back().insert(name).second) {
            return;
        }
        if (m_ambiguousElements == nullptr || m_members.size() == 1) {
            throw Poco::JSON::JSONException(absl::StrCat("member '", name, "' is repeated"));
        }
        m_ambiguousElements->insert(m_elementCount - 1);
    }

private:
    std::set<size_t> *const m_ambiguousElements;
    // Number of objects so far whose parent is the outermost object.
    size_t m_elementCount = 0;
    // Names of the members so far, of each object whose end has not been read yet.
    std::vector<std::set<std::string>> m_members;
};

Poco::JSON::JSONException wrongType(const std::string &name, const char *expected)
{
    return Poco::JSON::JSONException(absl::StrCat("member '", name, "' is no ", expected));
}

Poco::JSON::Object::Ptr parseObject(std::string_view text, std::set<size_t> *ambiguousElements)
{
    Poco::JSON::Parser parser(new unique_member_handler(ambiguousElements));
    parser.setDepth(maxJsonDepth);
    return parser.parse(std::string(text)).extract<Poco::JSON::Object::Ptr>();
}

} // namespace

Poco::JSON::Object::Ptr parseStrictJsonObject(std::string_view text)
{
    return parseObject(text, nullptr);
}

std::string textMember(const Poco::JSON::Object &object, const std::string &name)
{
    const Poco::Dynamic::Var value = object.get(name);
    if (!value.isString()) {
        throw wrongType(name, "string");
    }
    return value.extract<std::string>();
}

std::string textMemberOr(const Poco::JSON::Object &object, const std::string &name,
                         const std::string &fallback)
{
    return object.has(name) ? textMember(object, name) : fallback;
}

bool flagMember(const Poco::JSON::Object &object, const std::string &name)
{
    const Poco::Dynamic::Var value = object.get(name);
    if (!value.isBoolean()) {
        throw wrongType(name, "boolean");
    }
    return value.extract<bool>();
}

bool flagMemberOr(const Poco::JSON::Object &object, const std::string &name, bool fallback)
{
    return object.has(name) ? flagMember(object, name) : fallback;
}

double numberMemberOr(const Poco::JSON::Object &object, const std::string &name, double fallback)
{
    if (!object.has(name)) {
        return fallback;
    }
    const Poco::Dynamic::Var value = object.get(name);
    if (!value.isNumeric() || value.isBoolean()) {
        throw wrongType(name, "number");
    }
    return value.convert<double>();
}

Poco::Dynamic::Var integerValue(const Poco::JSON::Object &object, const std::string &name)
{
    Poco::Dynamic::Var value = object.get(name);
    if (value.isEmpty() || !value.isInteger() || value.isBoolean()) {
        throw wrongType(name, "integer");
    }
    return value;
}

json_list parseStrictJsonList(std::string_view text)
{
    json_list list;
    list.object = parseObject(text, &list.ambiguousElements);
    return list;
}

absl::StatusOr<uint64_t> parseHex64(const std::string &text)
{
    constexpr size_t digits = 16;
    uint64_t value = 0;
    if (text.size() != digits || !absl::SimpleHexAtoi(text, &value)) {
        return absl::InvalidArgumentError(absl::StrCat("not a 64-bit hexadecimal value: ", text));
    }
    return value;
}

std::string renderJson(const Poco::JSON::Object &object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

} // namespace persimmonrail
