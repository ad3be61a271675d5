#include "persimmonrail/cli/explain_command.h"

#include "persimmonrail/cli/explanation_text.h"
#include "persimmonrail/cli/json_flattening.h"

#include <Poco/URI.h>

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

std::string queryOf(const router_question &question)
{
    std::string query;
    for (const auto &[name, value] : question.parameters) {
        std::string encoded;
        Poco::URI::encode(value, "?#%&+=;:@!$'()*,[]/", encoded);
        absl::StrAppend(&query, query.empty() ? "?" : "&", name, "=", encoded);
    }
    return query;
}

// Returns the member of a JSON object at the top level; empty if there is none.
std::string topMember(const std::string &json, const std::string &name)
{
    const auto fields = flattenJson(json);
    if (fields.ok()) {
        for (const auto &[path, value] : *fields) {
            if (path == name) {
                return value;
            }
        }
    }
    return "";
}

cli_exit exitFor(const std::string &error)
{
    if (error == "no-route") {
        return cli_exit::NoRoute;
    }
    if (error == "missing-key") {
        return cli_exit::MissingKey;
    }
    return error == "no-desired-state" ? cli_exit::NoDesiredState : cli_exit::Failed;
}

} // namespace

cli_exit explainRequest(const cli_session &session, const router_question &question)
{
    const auto response =
        session.hooks.httpExchange(question.address, "/v1/explain" + queryOf(question));
    if (!response.ok()) {
        session.fail(absl::StrCat("no response from the daemon at ", question.address, ": ",
                                  std::string(response.status().message())));
        return cli_exit::DaemonUnreachable;
    }
    if (response->status != 200) {
        const std::string error = topMember(response->body, "error");
        const std::string cause = error.empty()
            ? ""
            : absl::StrCat(", ", error, ": ", topMember(response->body, "message"));
        session.fail(
            absl::StrCat(question.address, " responded with status ", response->status, cause));
        return exitFor(error);
    }
    const auto text = renderExplanationText(response->body);
    if (!text.ok()) {
        return session.fail(
            absl::StrCat(question.address,
                         " does not explain requests: it is not the metrics address of a "
                         "router daemon, or the daemon is of an earlier release"));
    }
    session.out << (question.asJson ? response->body + "\n" : *text);
    return cli_exit::Ok;
}

} // namespace persimmonrail
