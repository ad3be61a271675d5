#pragma once

#include "persimmonrail/document/document_parser.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Collects errors within fixed bounds, whatever the document holds: the first maxDocumentErrors are
// kept, with long texts cut and control characters escaped. Without the bounds a small document
// with thousands of faults would yield a status beyond the platform's value limit.
class error_list
{
public:
    void add(std::string_view path, std::string_view message);
    bool empty() const { return m_errors.empty(); }
    // Returns the errors, followed by one that counts those left out, if any.
    std::vector<document_error> errors() const;

private:
    std::vector<document_error> m_errors;
    size_t m_omitted = 0;
};

// Parses JSON whose outermost value is an object. Adds an error for malformed text, for nesting
// beyond `maxDepth` and for each repeated field; returns null if the text is malformed.
Poco::JSON::Object::Ptr parseJsonObject(std::string_view json, int maxDepth, error_list &errors);

// Reads the fields of one JSON object by type and collects every violation. Each accessor marks its
// field as known; reportUnknown() complains about all others.
class object_reader
{
public:
    // `errors` must outlive the reader.
    object_reader(Poco::JSON::Object::Ptr object, std::string path, error_list &errors);

    bool has(const std::string &field) const { return m_object->has(field); }
    // Path of a field, or of the object itself if `field` is empty.
    std::string pathOf(const std::string &field) const;
    void fail(const std::string &field, std::string_view message);
    // Adds an error at a full path, as needed for elements of an array.
    void failAt(std::string_view path, std::string_view message);

    // A missing field is an error for these.
    std::optional<std::string> text(const std::string &field);
    std::optional<int64_t> integer(const std::string &field, int64_t lowest, int64_t highest);
    std::optional<bool> boolean(const std::string &field);

    // A missing field yields the fallback for these.
    double number(const std::string &field, double lowest, double highest, double fallback);
    bool booleanOr(const std::string &field, bool fallback);

    // Returns nullopt if the field is missing or is no object.
    std::optional<object_reader> object(const std::string &field);
    // Returns the elements that are objects; `isRequired` demands at least one element.
    std::vector<object_reader> objects(const std::string &field, bool isRequired);
    struct text_element
    {
        std::string path;
        std::string text;
    };
    // Returns the elements that are strings.
    std::vector<text_element> texts(const std::string &field);

    // Marks a field as known without reading it.
    void ignore(const std::string &field) { m_known.insert(field); }
    void reportUnknown();

private:
    // Marks the field as known and returns its value; complains about a missing required one.
    Poco::Dynamic::Var take(const std::string &field, bool isRequired);
    Poco::JSON::Array::Ptr array(const std::string &field, bool isRequired);

    Poco::JSON::Object::Ptr m_object;
    std::string m_path;
    error_list *m_errors;
    std::set<std::string> m_known;
};

} // namespace persimmonrail
