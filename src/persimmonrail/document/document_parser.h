#pragma once

#include "persimmonrail/document/service_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Largest document in bytes.
inline constexpr size_t maxDocumentBytes = 256 * 1024;
// Valid documents nest three levels; the bound keeps the parser's memory small.
inline constexpr int maxDocumentDepth = 16;
inline constexpr int maxPartitions = 65536;
// The rest of the capacity is left to the ranks in order of urgency.
inline constexpr double maxFloorSum = 0.95;
inline constexpr milliseconds minOperationTimeout{1};
inline constexpr milliseconds maxOperationTimeout{600'000};

// Errors beyond this number are counted only.
inline constexpr size_t maxDocumentErrors = 200;

struct document_error
{
    // Position in the document such as "operations[2].rank"; empty for the document as a whole.
    std::string path;
    std::string message;

    bool operator==(const document_error &) const = default;
};

struct parsed_document
{
    // Present exactly if there are no errors.
    std::optional<service_document> document;
    // Every error found, in the order of the checks; at most maxDocumentErrors, followed by one
    // that counts the rest.
    std::vector<document_error> errors;
};

// Parses and validates a service document as a whole. Text that is not JSON yields one error;
// otherwise every violation is listed, unknown and repeated fields included. Long texts in errors
// are cut and control characters escaped.
parsed_document parseServiceDocument(std::string_view json);

// Returns one line per error, "path: message".
std::string renderErrors(const std::vector<document_error> &errors);

// Whether the text is a valid name: 1 to 63 characters out of a-z, 0-9 and '-'.
bool isValidName(std::string_view text);

} // namespace persimmonrail
