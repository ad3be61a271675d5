#include "persimmonrail/cli/read_commands.h"

#include "persimmonrail/cli/json_flattening.h"
#include "persimmonrail/document/document_acceptance.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/URI.h>

#include <absl/strings/str_cat.h>

#include <map>

namespace persimmonrail {
namespace {

constexpr char configPrefix[] = "config/";
constexpr char statusPrefix[] = "status/";
constexpr char memberPrefix[] = "member/";

std::string formatTime(wall_time time)
{
    const auto sinceEpoch =
        std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    return Poco::DateTimeFormatter::format(Poco::Timestamp(sinceEpoch.count()),
                                           Poco::DateTimeFormat::ISO8601_FORMAT);
}

std::string encodeQueryParameter(const std::string &text)
{
    std::string encoded;
    Poco::URI::encode(text, "?#%&+=;:@!$'()*,[]/", encoded);
    return encoded;
}

// Document version and status of one service, as the platform stores them.
struct service_state
{
    // 0 if no document is stored.
    uint64_t configVersion = 0;
    // Encoded document_status; empty if none is stored.
    std::string status;
};

// Prints the status of a service. Returns false if the stored status cannot be decoded.
bool printStatus(const cli_session &session, const std::string &service, const service_state &state)
{
    if (state.status.empty()) {
        session.out << service << ": version " << state.configVersion
                    << " is neither accepted nor rejected yet\n";
        return true;
    }
    const auto status = decodeStatus(state.status);
    if (!status.ok()) {
        session.fail(absl::StrCat(service, ": ", std::string(status.status().message())));
        return false;
    }
    session.out << service << ": version " << status->sourceVersion << " "
                << toString(status->state) << " " << formatTime(status->decidedAt) << "\n"
                << renderErrors(status->errors);
    if (state.configVersion > status->sourceVersion) {
        session.out << service << ": version " << state.configVersion
                    << " is neither accepted nor rejected yet\n";
    }
    return true;
}

// Returns the states of all services whose names start with `service`, by name.
absl::StatusOr<std::map<std::string, service_state>> readServiceStates(const object_api &platform,
                                                                       const std::string &service)
{
    std::map<std::string, service_state> states;
    const auto configs = platform.list(configPrefix + service);
    const auto statuses = platform.list(statusPrefix + service);
    if (!configs.ok() || !statuses.ok()) {
        return configs.ok() ? statuses.status() : configs.status();
    }
    for (const auto &object : configs->objects) {
        states[object.key.substr(sizeof configPrefix - 1)].configVersion = object.version;
    }
    for (const auto &object : statuses->objects) {
        states[object.key.substr(sizeof statusPrefix - 1)].status = object.value;
    }
    return states;
}

cli_exit printAccepted(const cli_session &session, const std::string &service)
{
    const auto accepted = getOptional(session.platform, acceptedKey(service));
    if (!accepted.ok()) {
        return session.fail(accepted.status());
    }
    if (!accepted->has_value()) {
        session.out << "accepted: none\n";
        return cli_exit::Ok;
    }
    const auto decoded = decodeAccepted((*accepted)->value);
    if (!decoded.ok()) {
        return session.fail(decoded.status());
    }
    session.out << "accepted: version " << decoded->sourceVersion << "\n";
    return cli_exit::Ok;
}

} // namespace

cli_exit validateFile(const cli_session &session, const std::string &file)
{
    const auto text = session.hooks.readFile(file);
    if (!text.ok()) {
        return session.fail(text.status());
    }
    const auto parsed = parseServiceDocument(*text);
    if (!parsed.document) {
        session.err << renderErrors(parsed.errors);
        return cli_exit::Failed;
    }
    session.out << "valid: " << parsed.document->service << "\n";
    return cli_exit::Ok;
}

cli_exit showService(const cli_session &session, const std::string &service)
{
    const auto config = getOptional(session.platform, configKey(service));
    const auto status = getOptional(session.platform, statusKey(service));
    if (!config.ok() || !status.ok()) {
        return session.fail(config.ok() ? status.status() : config.status());
    }
    if (!config->has_value() && !status->has_value()) {
        return session.fail(absl::StrCat("no document is stored for ", service));
    }
    service_state state;
    if (config->has_value()) {
        const std::string &text = (*config)->value;
        state.configVersion = (*config)->version;
        session.out << text << (text.ends_with('\n') ? "" : "\n");
        session.out << "version: " << state.configVersion << "\n";
    } else {
        session.out << "version: none, the document was deleted\n";
    }
    if (printAccepted(session, service) != cli_exit::Ok) {
        return cli_exit::Failed;
    }
    state.status = status->has_value() ? (*status)->value : "";
    return printStatus(session, service, state) ? cli_exit::Ok : cli_exit::Failed;
}

cli_exit showStatus(const cli_session &session, const std::string &service)
{
    const auto states = readServiceStates(session.platform, service);
    if (!states.ok()) {
        return session.fail(states.status());
    }
    if (!service.empty() && !states->contains(service)) {
        return session.fail(absl::StrCat("no document is stored for ", service));
    }
    bool areAllDecoded = true;
    for (const auto &[name, state] : *states) {
        // The listing also contains services whose names start with this one.
        if (service.empty() || name == service) {
            areAllDecoded = printStatus(session, name, state) && areAllDecoded;
        }
    }
    return areAllDecoded ? cli_exit::Ok : cli_exit::Failed;
}

cli_exit explainKey(const cli_session &session, const std::string &adminAddress,
                    const std::string &service, const std::string &key)
{
    const std::string pathAndQuery = absl::StrCat(
        "/v1/explain?service=", encodeQueryParameter(service), "&key=", encodeQueryParameter(key));
    const auto body = session.hooks.httpGet(adminAddress, pathAndQuery);
    if (!body.ok()) {
        return session.fail(body.status());
    }
    const auto fields = flattenJson(*body);
    if (!fields.ok()) {
        return session.fail(fields.status());
    }
    for (const auto &[path, value] : *fields) {
        session.out << path << ": " << value << "\n";
    }
    return cli_exit::Ok;
}

cli_exit listMembers(const cli_session &session)
{
    const auto members = session.platform.list(memberPrefix);
    if (!members.ok()) {
        return session.fail(members.status());
    }
    cli_exit result = cli_exit::Ok;
    for (const auto &object : members->objects) {
        const std::string name = object.key.substr(sizeof memberPrefix - 1);
        const auto fields = flattenJson(object.value);
        if (!fields.ok()) {
            result = session.fail(absl::StrCat(name, ": ", std::string(fields.status().message())));
            continue;
        }
        session.out << name;
        for (const auto &[path, value] : *fields) {
            session.out << " " << path << "=" << value;
        }
        session.out << "\n";
    }
    return result;
}

} // namespace persimmonrail
