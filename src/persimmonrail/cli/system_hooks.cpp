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

// Timeout of requests to the platform and to daemons, both of which normally respond within
// milliseconds. A longer timeout would only delay the error message if they are down.
constexpr milliseconds callTimeout{5'000};

absl::StatusOr<http_response> httpExchange(const std::string &address,
                                           const std::string &pathAndQuery)
{
    const auto socketAddress = parseSocketAddress(address);
    if (!socketAddress.ok()) {
        return socketAddress.status();
    }
    http_connection_pool pool(*socketAddress, callTimeout);
    return pool.exchange({"GET", pathAndQuery, "", callTimeout, true});
}

absl::StatusOr<std::string> httpGet(const std::string &address, const std::string &pathAndQuery)
{
    auto response = httpExchange(address, pathAndQuery);
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
    // Reads one byte more than the maximum, so that the parser rejects a larger file.
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
    hooks.makeObjectApi = [](const std::string &address) {
        return makeHttpObjectApi(address, callTimeout);
    };
    hooks.httpGet = httpGet;
    hooks.httpExchange = httpExchange;
    hooks.readFile = readFile;
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.sleepFor = [](milliseconds duration) { std::this_thread::sleep_for(duration); };
    return hooks;
}

} // namespace persimmonrail
