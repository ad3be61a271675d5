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

// The platform answers in milliseconds; an operator should not wait long for one that is down.
constexpr milliseconds callTimeout{5'000};

absl::StatusOr<std::string> httpGet(const std::string &address, const std::string &target)
{
    const auto parsed = parseSocketAddress(address);
    if (!parsed.ok()) {
        return parsed.status();
    }
    http_connection_pool pool(*parsed, callTimeout);
    auto response = pool.exchange({"GET", target, "", callTimeout, true});
    if (!response.ok()) {
        return response.status();
    }
    if (response->status != 200) {
        return absl::UnavailableError(
            absl::StrCat(address, " answered ", response->status, ": ", response->body));
    }
    return std::move(response->body);
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    // One byte more than allowed is read, so that an excess shows.
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
    hooks.pause = [](milliseconds time) { std::this_thread::sleep_for(time); };
    return hooks;
}

} // namespace persimmonrail
