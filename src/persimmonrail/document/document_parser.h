#pragma once

#include "persimmonrail/document/service_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Maximum size of a service document in bytes.
inline constexpr size_t maxDocumentBytes = 256 * 1024;
// Maximum nesting depth. Valid documents have three levels; the limit bounds the parser's memory.
inline constexpr int maxDocumentDepth = 16;
// Maximum number of hash ranges of one service.
inline constexpr int maxPartitions = 65536;
// Maximum sum of the floors of all ranks. The remaining capacity is not reserved; the ranks use it
// in order of urgency.
inline constexpr double maxFloorSum = 0.95;
inline constexpr milliseconds minOperationTimeout{1};
inline constexpr milliseconds maxOperationTimeout{600'000};

// Maximum number of errors that are listed. Further errors are only counted.
inline constexpr size_t maxDocumentErrors = 200;

// One violation found in a JSON document.
struct document_error
{
    // Path of the invalid field, such as "operations[2].rank". Empty if the error concerns the
    // whole document.
    std::string path;
    std::string message;

    bool operator==(const document_error &) const = default;
};

// Result of parsing a service document.
struct parsed_document
{
    // Set if and only if `errors` is empty.
    std::optional<service_document> document;
    // Lists the errors in the order of the checks. Holds at most maxDocumentErrors errors; if there
    // are more, one further element states how many are not listed.
    std::vector<document_error> errors;
};

// Parses and validates a service document. A text longer than maxDocumentBytes yields one error.
// Malformed JSON ends the parse with an error. In all other cases the result lists every violation,
// including unknown and repeated fields. Long texts in errors are truncated and control characters
// are escaped.
parsed_document parseServiceDocument(std::string_view json);

// Returns one line per error in the form "path: message". The path of an error that concerns the
// whole document is rendered as "document".
std::string renderErrors(const std::vector<document_error> &errors);

// Returns whether `text` is a valid name: 1 to 63 characters from a-z, 0-9 and '-'.
bool isValidName(std::string_view text);

} // namespace persimmonrail
