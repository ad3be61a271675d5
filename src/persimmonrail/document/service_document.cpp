#include "persimmonrail/document/service_document.h"

namespace persimmonrail {
namespace {

// Returns whether `prefix` matches whole segments at the start of `path`: "/credit" matches
// "/credit" and "/credit/7", but not "/credits", so an operation does not apply to an unrelated
// path whose name begins with the same letters.
bool matchesPathPrefix(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix)
        && (prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace

const operation_rule *service_document::findOperation(std::string_view method,
                                                      std::string_view path) const
{
    path = path.substr(0, path.find_first_of("?#"));
    for (const auto &operation : operations) {
        if ((operation.method == "*" || operation.method == method)
            && matchesPathPrefix(path, operation.pathPrefix)) {
            return &operation;
        }
    }
    return nullptr;
}

size_t service_document::rankIndex(std::string_view name) const
{
    for (size_t i = 0; i < ranks.size(); ++i) {
        if (ranks[i].name == name) {
            return i;
        }
    }
    return ranks.empty() ? 0 : ranks.size() - 1;
}

} // namespace persimmonrail
