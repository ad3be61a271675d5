#include "persimmonrail/base/socket_address.h"
#include "persimmonrail/cli/command_line.h"
#include "persimmonrail/document/document_parser.h"
#include "persimmonrail/objects/http_connection_pool.h"
#include "persimmonrail/objects/http_object_api.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <thread>

namespace persimmonrail {
namespace {

// The platform normally responds within milliseconds; a longer timeout would only delay the error
// of a platform that is down.
constexpr milliseconds callTimeout{5'000};

absl::StatusOr<std::string> httpGet(const std::string &address, const std::string &pathAndQuery)
{
    const auto parsed = parseSocketAddress(address);
    if (!parsed.ok()) {
        return parsed.status();
    }
    http_connection_pool pool(*parsed, callTimeout);
    auto response = pool.exchange({"GET", pathAndQuery, "", callTimeout, true});
    if (!response.ok()) {
        return response.status();
    }
    if (response->status != 200) {
        return absl::UnavailableError(absl::StrCat(address, " responded with status ",
                                                   response->status, ": ", response->body));
    }
    return std::move(response->body);
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    // Reading one byte more than a document may have lets the parser reject a larger file.
    std::string text(maxDocumentBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad()) {
        return absl::NotFoundError(absl::StrCat("cannot read ", path));
    }
    text.resize(static_cast<size_t>(file.gcount()));
    return text;
}

} // namespace

cli_hooks makeCliHooks()
{
    cli_hooks hooks;
    hooks.connect = [](const std::string &address) {
        return makeHttpObjectApi(address, callTimeout);
    };
    hooks.httpGet = httpGet;
    hooks.readFile = readFile;
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.sleepFor = [](milliseconds duration) { std::this_thread::sleep_for(duration); };
    return hooks;
}

} // namespace persimmonrail
