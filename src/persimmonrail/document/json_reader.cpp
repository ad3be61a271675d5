#include "persimmonrail/document/json_reader.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

#include <absl/strings/str_cat.h>

#include <cmath>

namespace persimmonrail {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr size_t maxErrorTextBytes = 256;

// Builds the JSON value and reports an error for each repeated field. Poco's own handler accepts
// repeated fields and keeps only the last one.
class duplicate_field_handler : public Poco::JSON::ParseHandler
{
public:
    explicit duplicate_field_handler(error_list &errors)
        : m_errors(errors)
    { }

    void startObject() override
    {
        ParseHandler::startObject();
        m_openContainers.push_back({false});
    }
    void endObject() override
    {
        ParseHandler::endObject();
        closeContainer();
    }
    void startArray() override
    {
        ParseHandler::startArray();
        m_openContainers.push_back({true});
    }
    void endArray() override
    {
        ParseHandler::endArray();
        closeContainer();
    }
    void key(const std::string &name) override
    {
        ParseHandler::key(name);
        auto &container = m_openContainers.back();
        container.currentField = name;
        if (!container.seenFields.insert(name).second) {
            m_errors.add(currentPath(), "field is repeated");
        }
    }
    void value(int number) override { addScalar(number); }
    void value(unsigned number) override { addScalar(number); }
    void value(Poco::Int64 number) override { addScalar(number); }
    void value(Poco::UInt64 number) override { addScalar(number); }
    void value(const std::string &text) override { addScalar(text); }
    void value(double number) override { addScalar(number); }
    void value(bool flag) override { addScalar(flag); }
    void null() override
    {
        ParseHandler::null();
        advanceIndex();
    }

private:
    // An object or array whose end has not been parsed yet.
    struct container
    {
        bool isArray = false;
        // Index of the current element. Only for arrays.
        size_t index = 0;
        // Name of the current field and the names of all fields so far. Only for objects.
        std::string currentField = {};
        std::set<std::string> seenFields = {};
    };

    template <typename Value> void addScalar(const Value &scalar)
    {
        ParseHandler::value(scalar);
        advanceIndex();
    }
    void closeContainer()
    {
        m_openContainers.pop_back();
        advanceIndex();
    }
    void advanceIndex()
    {
        if (!m_openContainers.empty() && m_openContainers.back().isArray) {
            ++m_openContainers.back().index;
        }
    }
    // Returns the path of the value that is being parsed.
    std::string currentPath() const
    {
        std::string text;
        for (const auto &container : m_openContainers) {
            if (container.isArray) {
                absl::StrAppend(&text, "[", container.index, "]");
            } else {
                absl::StrAppend(&text, text.empty() ? "" : ".", container.currentField);
            }
        }
        return text;
    }

    error_list &m_errors;
    std::vector<container> m_openContainers;
};

// Escapes control characters, which an operator's terminal could interpret, and truncates the text
// after about maxErrorTextBytes. UTF-8 sequences are not split.
std::string escapeAndTruncate(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool isContinuation = (byte & 0xc0) == 0x80;
        if (escaped.size() >= maxErrorTextBytes && !isContinuation) {
            return escaped + "...";
        }
        if (byte < ' ' || byte == 0x7f) {
            absl::StrAppend(&escaped, "\\x", absl::Hex(byte, absl::kZeroPad2));
        } else {
            escaped.push_back(c);
        }
    }
    return escaped;
}

std::string describeRange(int64_t minValue, int64_t maxValue)
{
    return absl::StrCat("must be an integer from ", minValue, " to ", maxValue);
}

} // namespace

void error_list::add(std::string_view path, std::string_view message)
{
    if (m_errors.size() < maxDocumentErrors) {
        m_errors.push_back({escapeAndTruncate(path), escapeAndTruncate(message)});
    } else {
        ++m_unlistedCount;
    }
}

std::vector<document_error> error_list::errors() const
{
    auto errors = m_errors;
    if (m_unlistedCount > 0) {
        errors.push_back({"", absl::StrCat(m_unlistedCount, " further errors are not listed")});
    }
    return errors;
}

Object::Ptr parseJsonObject(std::string_view json, int maxDepth, error_list &errors)
{
    try {
        Poco::JSON::Parser parser(new duplicate_field_handler(errors));
        parser.setDepth(static_cast<size_t>(maxDepth));
        const Var value = parser.parse(std::string(json));
        if (value.type() != typeid(Object::Ptr)) {
            errors.add("", "must be a JSON object");
            return nullptr;
        }
        return value.extract<Object::Ptr>();
    } catch (const Poco::Exception &error) {
        errors.add("", absl::StrCat("not valid JSON: ", error.message()));
    } catch (const std::exception &error) {
        errors.add("", absl::StrCat("not valid JSON: ", error.what()));
    }
    return nullptr;
}

object_reader::object_reader(Object::Ptr object, std::string path, error_list &errors)
    : m_object(std::move(object))
    , m_path(std::move(path))
    , m_errors(&errors)
{ }

std::string object_reader::pathOf(const std::string &field) const
{
    if (field.empty() || m_path.empty()) {
        return absl::StrCat(m_path, field);
    }
    return absl::StrCat(m_path, ".", field);
}

void object_reader::reportError(const std::string &field, std::string_view message)
{
    reportErrorAt(pathOf(field), message);
}

void object_reader::reportErrorAt(std::string_view path, std::string_view message)
{
    m_errors->add(path, message);
}

Var object_reader::readField(const std::string &field, bool isRequired)
{
    m_knownFields.insert(field);
    if (!m_object->has(field)) {
        if (isRequired) {
            reportError(field, "is missing");
        }
        return {};
    }
    return m_object->get(field);
}

std::optional<std::string> object_reader::requiredString(const std::string &field)
{
    const Var value = readField(field, true);
    if (has(field) && !value.isString()) {
        reportError(field, "must be a string");
    }
    return value.isString() ? std::optional(value.extract<std::string>()) : std::nullopt;
}

std::optional<int64_t> object_reader::requiredInteger(const std::string &field, int64_t minValue,
                                                      int64_t maxValue)
{
    const Var value = readField(field, true);
    if (!has(field)) {
        return std::nullopt;
    }
    if (value.isInteger() && !value.isBoolean()) {
        int64_t number = 0;
        try {
            number = value.convert<Poco::Int64>();
        } catch (const Poco::Exception &) {
            // The value exceeds the signed 64-bit range, which contains every allowed range.
            number = maxValue + 1;
        }
        if (number >= minValue && number <= maxValue) {
            return number;
        }
    }
    reportError(field, describeRange(minValue, maxValue));
    return std::nullopt;
}

std::optional<bool> object_reader::requiredBoolean(const std::string &field)
{
    const Var value = readField(field, true);
    if (has(field) && !value.isBoolean()) {
        reportError(field, "must be true or false");
    }
    return value.isBoolean() ? std::optional(value.extract<bool>()) : std::nullopt;
}

double object_reader::numberOr(const std::string &field, double minValue, double maxValue,
                               double fallback)
{
    const Var value = readField(field, false);
    if (!has(field)) {
        return fallback;
    }
    if (value.isNumeric() && !value.isBoolean() && !value.isString()) {
        const auto number = value.convert<double>();
        if (std::isfinite(number) && number >= minValue && number <= maxValue) {
            return number;
        }
    }
    reportError(field, absl::StrCat("must be a number from ", minValue, " to ", maxValue));
    return fallback;
}

bool object_reader::booleanOr(const std::string &field, bool fallback)
{
    if (!has(field)) {
        m_knownFields.insert(field);
        return fallback;
    }
    return requiredBoolean(field).value_or(fallback);
}

std::optional<object_reader> object_reader::optionalObject(const std::string &field)
{
    const Var value = readField(field, false);
    if (!has(field)) {
        return std::nullopt;
    }
    if (value.type() != typeid(Object::Ptr)) {
        reportError(field, "must be an object");
        return std::nullopt;
    }
    return object_reader(value.extract<Object::Ptr>(), pathOf(field), *m_errors);
}

Array::Ptr object_reader::readArray(const std::string &field, bool isRequired)
{
    const Var value = readField(field, isRequired);
    if (!has(field)) {
        return nullptr;
    }
    if (value.type() != typeid(Array::Ptr)) {
        reportError(field, "must be an array");
        return nullptr;
    }
    Array::Ptr elements = value.extract<Array::Ptr>();
    if (isRequired && elements->empty()) {
        reportError(field, "must have at least one element");
    }
    return elements;
}

std::vector<object_reader> object_reader::objectArray(const std::string &field, bool isRequired)
{
    std::vector<object_reader> readers;
    const Array::Ptr elements = readArray(field, isRequired);
    for (size_t i = 0; !elements.isNull() && i < elements->size(); ++i) {
        const std::string path = absl::StrCat(pathOf(field), "[", i, "]");
        if (elements->isObject(static_cast<unsigned>(i))) {
            readers.emplace_back(elements->getObject(static_cast<unsigned>(i)), path, *m_errors);
        } else {
            reportErrorAt(path, "must be an object");
        }
    }
    return readers;
}

std::vector<object_reader::string_element> object_reader::stringArray(const std::string &field)
{
    std::vector<string_element> strings;
    const Array::Ptr elements = readArray(field, false);
    for (size_t i = 0; !elements.isNull() && i < elements->size(); ++i) {
        const std::string path = absl::StrCat(pathOf(field), "[", i, "]");
        const Var value = elements->get(static_cast<unsigned>(i));
        if (value.isString()) {
            strings.push_back({path, value.extract<std::string>()});
        } else {
            reportErrorAt(path, "must be a string");
        }
    }
    return strings;
}

void object_reader::reportUnknownFields()
{
    for (const auto &name : m_object->getNames()) {
        if (!m_knownFields.contains(name)) {
            reportError(name, "unknown field");
        }
    }
}

} // namespace persimmonrail
