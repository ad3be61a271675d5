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

// Collects the errors of one document in bounded memory. The list keeps the first maxDocumentErrors
// errors, truncates long texts and escapes control characters. Without these limits, the status of
// a small document with thousands of errors would exceed the platform's limit for the size of a
// value.
class error_list
{
public:
    // Adds an error, or only counts the error if the list is full.
    void add(std::string_view path, std::string_view message);
    bool empty() const { return m_errors.empty(); }
    // Returns the errors that are kept. If more were added, one further element states how many are
    // not listed.
    std::vector<document_error> errors() const;

private:
    std::vector<document_error> m_errors;
    size_t m_unlistedCount = 0;
};

// Parses a JSON text whose outermost value is an object. Adds an error to `errors` for malformed
// text, for nesting deeper than `maxDepth` and for each repeated field. Returns null if the text is
// malformed, is nested too deeply or is not an object; repeated fields alone do not cause null.
Poco::JSON::Object::Ptr parseJsonObject(std::string_view json, int maxDepth, error_list &errors);

// Reads the fields of one JSON object by type and adds an error to the list for every violation.
// Each accessor marks its field as known; reportUnknownFields() reports an error for each of the
// other fields.
class object_reader
{
public:
    // `path` is the path of `object` in the document, empty for the outermost object. `errors` must
    // outlive the reader.
    object_reader(Poco::JSON::Object::Ptr object, std::string path, error_list &errors);

    bool has(const std::string &field) const { return m_object->has(field); }
    // Returns the path of a field, or the path of the object itself if `field` is empty.
    std::string pathOf(const std::string &field) const;
    // Adds an error at the path of `field`.
    void reportError(const std::string &field, std::string_view message);
    // Adds an error at `path`, counted from the root of the document. Used for elements of arrays.
    void reportErrorAt(std::string_view path, std::string_view message);

    // These accessors return nullopt and report an error if the field is missing, has another type
    // or is out of range. The range of an integer includes both limits.
    std::optional<std::string> requiredString(const std::string &field);
    std::optional<int64_t> requiredInteger(const std::string &field, int64_t minValue,
                                           int64_t maxValue);
    std::optional<bool> requiredBoolean(const std::string &field);

    // These accessors return the fallback if the field is missing. They also return the fallback,
    // and report an error, if the value has another type or is out of range.
    double numberOr(const std::string &field, double minValue, double maxValue, double fallback);
    bool booleanOr(const std::string &field, bool fallback);

    // Returns a reader for the object in `field`, or nullopt if the field is missing. Returns
    // nullopt and reports an error if the value is not an object.
    std::optional<object_reader> optionalObject(const std::string &field);
    // Returns a reader for each element that is an object and reports an error for each other
    // element. If `isRequired` is set, a missing field and an empty array are errors.
    std::vector<object_reader> objectArray(const std::string &field, bool isRequired);
    // One string of an array, with its path in the document.
    struct string_element
    {
        std::string path;
        std::string value;
    };
    // Returns the elements that are strings and reports an error for each other element. The field
    // is optional.
    std::vector<string_element> stringArray(const std::string &field);

    // Marks a field as known without reading it.
    void markKnown(const std::string &field) { m_knownFields.insert(field); }
    // Reports an error for each field that is not marked as known.
    void reportUnknownFields();

private:
    // Marks the field as known and returns its value. Returns an empty value if the field is
    // missing, which is reported as an error if `isRequired` is set.
    Poco::Dynamic::Var readField(const std::string &field, bool isRequired);
    // Returns the array in `field`, or null if the field is missing or is not an array.
    Poco::JSON::Array::Ptr readArray(const std::string &field, bool isRequired);

    Poco::JSON::Object::Ptr m_object;
    std::string m_path;
    error_list *m_errors;
    std::set<std::string> m_knownFields;
};

} // namespace persimmonrail
