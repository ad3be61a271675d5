#include "persimmonrail/router/explain_endpoint.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/text.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <map>
#include <optional>

namespace persimmonrail {
namespace {

constexpr int maxRunning = 4;
constexpr size_t maxMethodLength = 32;
constexpr size_t maxHostLength = 300;
constexpr size_t maxPathLength = 8192;
constexpr uint64_t maxBytes = uint64_t{1} << 40;
constexpr uint64_t maxTimeoutMs = 86'400'000;

constexpr char knownNames[] = "method, host, path, key, bytes, timeout";

using parameter_map = std::map<std::string, std::string>;

absl::StatusOr<std::string> decode(std::string_view text)
{
    try {
        std::string decoded;
        Poco::URI::decode(std::string(text), decoded);
        return decoded;
    } catch (const Poco::Exception &) {
        return absl::InvalidArgumentError("the query has an invalid percent-encoding");
    }
}

bool isKnown(const std::string &name)
{
    return name == "method" || name == "host" || name == "path" || name == "key" || name == "bytes"
        || name == "timeout";
}

absl::StatusOr<parameter_map> parseParameters(std::string_view query)
{
    parameter_map parameters;
    for (const absl::string_view part : absl::StrSplit(toAbsl(query), '&', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> split =
            absl::StrSplit(part, absl::MaxSplits('=', 1));
        const auto name = decode(split.first);
        const auto value = decode(split.second);
        if (!name.ok() || !value.ok()) {
            return name.ok() ? value.status() : name.status();
        }
        if (!isKnown(*name)) {
            return absl::InvalidArgumentError(
                absl::StrCat("unknown parameter; known are ", knownNames));
        }
        if (!parameters.emplace(*name, *value).second) {
            return absl::InvalidArgumentError(absl::StrCat(*name, " is given more than once"));
        }
    }
    return parameters;
}

// Returns whether the text may stand in the head of a request.
bool isVisible(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool isMethod(const std::string &text)
{
    return !text.empty() && text.size() <= maxMethodLength
        && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || c == '-' || c == '_';
           });
}

// Returns nullopt if the parameter is absent.
absl::StatusOr<std::optional<uint64_t>> numberOf(const parameter_map &parameters,
                                                 const std::string &name, uint64_t max)
{
    const auto found = parameters.find(name);
    if (found == parameters.end()) {
        return std::optional<uint64_t>();
    }
    uint64_t number = 0;
    const std::string &text = found->second;
    const bool isNumber = !text.empty()
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!isNumber || !absl::SimpleAtoi(text, &number) || number > max) {
        return absl::InvalidArgumentError(
            absl::StrCat(name, " must be an integer from 0 to ", max));
    }
    return std::optional(number);
}

std::string textOf(const parameter_map &parameters, const std::string &name,
                   const std::string &fallback)
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? fallback : found->second;
}

explain_response failure(int status, const std::string &error, const std::string &message)
{
    Poco::JSON::Object object;
    object.set("error", error);
    object.set("message", message);
    return {status, renderJson(object)};
}

} // namespace

absl::StatusOr<explained_request> parseExplainQuery(std::string_view query)
{
    const auto parameters = parseParameters(query);
    if (!parameters.ok()) {
        return parameters.status();
    }
    explained_request request;
    request.method = textOf(*parameters, "method", "GET");
    request.host = textOf(*parameters, "host", "");
    request.path = textOf(*parameters, "path", "");
    if (!isMethod(request.method)) {
        return absl::InvalidArgumentError("method is not the name of a method");
    }
    if (request.host.empty() || request.host.size() > maxHostLength || !isVisible(request.host)) {
        return absl::InvalidArgumentError("host is missing, too long or not a host name");
    }
    if (!request.path.starts_with('/') || request.path.size() > maxPathLength
        || !isVisible(request.path)) {
        return absl::InvalidArgumentError(
            "path is missing, too long, does not start with '/' or has characters that a request "
            "can't have");
    }
    const auto key = numberOf(*parameters, "key", lastKey);
    const auto bytes = numberOf(*parameters, "bytes", maxBytes);
    const auto timeout = numberOf(*parameters, "timeout", maxTimeoutMs);
    for (const auto *number : {&key, &bytes, &timeout}) {
        if (!number->ok()) {
            return number->status();
        }
    }
    if (*key) {
        request.key = static_cast<shard_key>(**key);
    }
    request.bytes = static_cast<size_t>(bytes->value_or(0));
    if (*timeout) {
        request.timeout = milliseconds(**timeout);
    }
    return request;
}

explain_endpoint::explain_endpoint(explain_hooks hooks)
    : m_hooks(std::move(hooks))
{ }

bool explain_endpoint::isExplainUri(std::string_view uri)
{
    return uri.substr(0, uri.find('?')) == explainPath;
}

explain_response explain_endpoint::serve(const std::string &method, std::string_view uri)
{
    if (method != "GET") {
        return failure(405, "method-not-allowed", "explanations are read by GET");
    }
    if (m_hooks.isStopping()) {
        return failure(503, "stopping", "the daemon is stopping");
    }
    const size_t queryStart = std::min(uri.find('?'), uri.size() - 1) + 1;
    const auto request = parseExplainQuery(uri.substr(queryStart));
    if (!request.ok()) {
        return failure(400, "bad-request", std::string(request.status().message()));
    }
    explain_response response = failure(
        503, "busy", absl::StrCat("the daemon serves ", maxRunning, " explanations; ask again"));
    if (++m_running <= maxRunning) {
        response = explain(*request);
    }
    --m_running;
    return response;
}

explain_response explain_endpoint::explain(const explained_request &request) const
{
    const request_explanation explanation = m_hooks.explain(request);
    switch (explanation.rejected.reason) {
    case proxy_reason::NoDesiredState:
        return failure(503, "no-desired-state", "the daemon knows no desired state");
    case proxy_reason::NoRoute:
        return failure(404, "no-route",
                       absl::StrCat("version ", explanation.table->version(),
                                    " of the desired state has no route for this host and path"));
    case proxy_reason::Stopping:
        return failure(503, "stopping", "the daemon is stopping");
    default:
        break;
    }
    if (explanation.lacksKey()) {
        return failure(400, "missing-key",
                       absl::StrCat("route ", explanation.found->name,
                                    " leads to a keyed service; give a key"));
    }
    return {200, renderExplanation(request, explanation, m_hooks.ages())};
}

} // namespace persimmonrail
