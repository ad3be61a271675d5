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

// Builds the JSON value and reports repeated fields, of which Poco keeps only the last one.
class checking_handler : public Poco::JSON::ParseHandler
{
public:
    explicit checking_handler(error_list &errors)
        : m_errors(errors)
    { }

    void startObject() override
    {
        ParseHandler::startObject();
        m_frames.push_back({false});
    }
    void endObject() override
    {
        ParseHandler::endObject();
        leave();
    }
    void startArray() override
    {
        ParseHandler::startArray();
        m_frames.push_back({true});
    }
    void endArray() override
    {
        ParseHandler::endArray();
        leave();
    }
    void key(const std::string &name) override
    {
        ParseHandler::key(name);
        auto &frame = m_frames.back();
        frame.field = name;
        if (!frame.seen.insert(name).second) {
            m_errors.add(path(), "field is repeated");
        }
    }
    void value(int number) override { scalar(number); }
    void value(unsigned number) override { scalar(number); }
    void value(Poco::Int64 number) override { scalar(number); }
    void value(Poco::UInt64 number) override { scalar(number); }
    void value(const std::string &text) override { scalar(text); }
    void value(double number) override { scalar(number); }
    void value(bool flag) override { scalar(flag); }
    void null() override
    {
        ParseHandler::null();
        advance();
    }

private:
    struct frame
    {
        bool isArray = false;
        size_t index = 0;
        std::string field = {};
        std::set<std::string> seen = {};
    };

    template <typename Value> void scalar(const Value &v)
    {
        ParseHandler::value(v);
        advance();
    }
    void leave()
    {
        m_frames.pop_back();
        advance();
    }
    void advance()
    {
        if (!m_frames.empty() && m_frames.back().isArray) {
            ++m_frames.back().index;
        }
    }
    std::string path() const
    {
        std::string text;
        for (const auto &frame : m_frames) {
            if (frame.isArray) {
                absl::StrAppend(&text, "[", frame.index, "]");
            } else {
                absl::StrAppend(&text, text.empty() ? "" : ".", frame.field);
            }
        }
        return text;
    }

    error_list &m_errors;
    std::vector<frame> m_frames;
};

// Escapes control characters, which must not reach an operator's terminal, and cuts the text.
std::string bounded(std::string_view text)
{
    std::string safe;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool isContinuation = (byte & 0xc0) == 0x80;
        if (safe.size() >= maxErrorTextBytes && !isContinuation) {
            return safe + "...";
        }
        if (byte < ' ' || byte == 0x7f) {
            absl::StrAppend(&safe, "\\x", absl::Hex(byte, absl::kZeroPad2));
        } else {
            safe.push_back(c);
        }
    }
    return safe;
}

std::string describeRange(int64_t lowest, int64_t highest)
{
    return absl::StrCat("must be an integer from ", lowest, " to ", highest);
}

} // namespace

void error_list::add(std::string_view path, std::string_view message)
{
    if (m_errors.size() < maxDocumentErrors) {
        m_errors.push_back({bounded(path), bounded(message)});
    } else {
        ++m_omitted;
    }
}

std::vector<document_error> error_list::errors() const
{
    auto errors = m_errors;
    if (m_omitted > 0) {
        errors.push_back({"", absl::StrCat(m_omitted, " further errors are not listed")});
    }
    return errors;
}

Object::Ptr parseJsonObject(std::string_view json, int maxDepth, error_list &errors)
{
    try {
        Poco::JSON::Parser parser(new checking_handler(errors));
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

void object_reader::fail(const std::string &field, std::string_view message)
{
    failAt(pathOf(field), message);
}

void object_reader::failAt(std::string_view path, std::string_view message)
{
    m_errors->add(path, message);
}

Var object_reader::take(const std::string &field, bool isRequired)
{
    m_known.insert(field);
    if (!m_object->has(field)) {
        if (isRequired) {
            fail(field, "is missing");
        }
        return {};
    }
    return m_object->get(field);
}

std::optional<std::string> object_reader::text(const std::string &field)
{
    const Var value = take(field, true);
    if (has(field) && !value.isString()) {
        fail(field, "must be a string");
    }
    return value.isString() ? std::optional(value.extract<std::string>()) : std::nullopt;
}

std::optional<int64_t> object_reader::integer(const std::string &field, int64_t lowest,
                                              int64_t highest)
{
    const Var value = take(field, true);
    if (!has(field)) {
        return std::nullopt;
    }
    if (value.isInteger() && !value.isBoolean()) {
        int64_t number = 0;
        try {
            number = value.convert<Poco::Int64>();
        } catch (const Poco::Exception &) {
            // Above the 64-bit range, hence outside of every allowed range.
            number = highest + 1;
        }
        if (number >= lowest && number <= highest) {
            return number;
        }
    }
    fail(field, describeRange(lowest, highest));
    return std::nullopt;
}

std::optional<bool> object_reader::boolean(const std::string &field)
{
    const Var value = take(field, true);
    if (has(field) && !value.isBoolean()) {
        fail(field, "must be true or false");
    }
    return value.isBoolean() ? std::optional(value.extract<bool>()) : std::nullopt;
}

double object_reader::number(const std::string &field, double lowest, double highest,
                             double fallback)
{
    const Var value = take(field, false);
    if (!has(field)) {
        return fallback;
    }
    if (value.isNumeric() && !value.isBoolean() && !value.isString()) {
        const auto number = value.convert<double>();
        if (std::isfinite(number) && number >= lowest && number <= highest) {
            return number;
        }
    }
    fail(field, absl::StrCat("must be a number from ", lowest, " to ", highest));
    return fallback;
}

bool object_reader::booleanOr(const std::string &field, bool fallback)
{
    if (!has(field)) {
        m_known.insert(field);
        return fallback;
    }
    return boolean(field).value_or(fallback);
}

std::optional<object_reader> object_reader::object(const std::string &field)
{
    const Var value = take(field, false);
    if (!has(field)) {
        return std::nullopt;
    }
    if (value.type() != typeid(Object::Ptr)) {
        fail(field, "must be an object");
        return std::nullopt;
    }
    return object_reader(value.extract<Object::Ptr>(), pathOf(field), *m_errors);
}

Array::Ptr object_reader::array(const std::string &field, bool isRequired)
{
    const Var value = take(field, isRequired);
    if (!has(field)) {
        return nullptr;
    }
    if (value.type() != typeid(Array::Ptr)) {
        fail(field, "must be an array");
        return nullptr;
    }
    Array::Ptr elements = value.extract<Array::Ptr>();
    if (isRequired && elements->empty()) {
        fail(field, "must have at least one element");
    }
    return elements;
}

std::vector<object_reader> object_reader::objects(const std::string &field, bool isRequired)
{
    std::vector<object_reader> readers;
    const Array::Ptr elements = array(field, isRequired);
    for (size_t i = 0; !elements.isNull() && i < elements->size(); ++i) {
        const std::string path = absl::StrCat(pathOf(field), "[", i, "]");
        if (elements->isObject(static_cast<unsigned>(i))) {
            readers.emplace_back(elements->getObject(static_cast<unsigned>(i)), path, *m_errors);
        } else {
            failAt(path, "must be an object");
        }
    }
    return readers;
}

std::vector<object_reader::text_element> object_reader::texts(const std::string &field)
{
    std::vector<text_element> found;
    const Array::Ptr elements = array(field, false);
    for (size_t i = 0; !elements.isNull() && i < elements->size(); ++i) {
        const std::string path = absl::StrCat(pathOf(field), "[", i, "]");
        const Var value = elements->get(static_cast<unsigned>(i));
        if (value.isString()) {
            found.push_back({path, value.extract<std::string>()});
        } else {
            failAt(path, "must be a string");
        }
    }
    return found;
}

void object_reader::reportUnknown()
{
    for (const auto &name : m_object->getNames()) {
        if (!m_known.contains(name)) {
            fail(name, "unknown field");
        }
    }
}

} // namespace persimmonrail
