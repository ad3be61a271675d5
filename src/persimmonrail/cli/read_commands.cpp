#include "persimmonrail/cli/read_commands.h"

#include "persimmonrail/cli/json_lines.h"
#include "persimmonrail/document/document_acceptance.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/URI.h>

#include <absl/strings/str_cat.h>

#include <map>

namespace persimmonrail {
namespace {

constexpr char configDirectory[] = "config/";
constexpr char statusDirectory[] = "status/";
constexpr char memberDirectory[] = "member/";

std::string formatTime(wall_time time)
{
    const auto sinceEpoch =
        std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    return Poco::DateTimeFormatter::format(Poco::Timestamp(sinceEpoch.count()),
                                           Poco::DateTimeFormat::ISO8601_FORMAT);
}

std::string encodeParameter(const std::string &text)
{
    std::string encoded;
    Poco::URI::encode(text, "?#%&+=;:@!$'()*,[]/", encoded);
    return encoded;
}

// What the platform stores about one service; versions are 0 if there is no such object.
struct service_state
{
    uint64_t configVersion = 0;
    // Empty if there is no status.
    std::string status;
};

// Returns whether the status is readable.
bool printStatus(const cli_session &session, const std::string &service, const service_state &state)
{
    if (state.status.empty()) {
        session.out << service << ": version " << state.configVersion << " awaits a verdict\n";
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
        session.out << service << ": version " << state.configVersion << " awaits a verdict\n";
    }
    return true;
}

absl::StatusOr<std::map<std::string, service_state>> readStates(const object_api &platform,
                                                                const std::string &service)
{
    std::map<std::string, service_state> states;
    const auto configs = platform.list(configDirectory + service);
    const auto statuses = platform.list(statusDirectory + service);
    if (!configs.ok() || !statuses.ok()) {
        return configs.ok() ? statuses.status() : configs.status();
    }
    for (const auto &object : configs->objects) {
        states[object.key.substr(sizeof configDirectory - 1)].configVersion = object.version;
    }
    for (const auto &object : statuses->objects) {
        states[object.key.substr(sizeof statusDirectory - 1)].status = object.value;
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
    const auto states = readStates(session.platform, service);
    if (!states.ok()) {
        return session.fail(states.status());
    }
    if (!service.empty() && !states->contains(service)) {
        return session.fail(absl::StrCat("no document is stored for ", service));
    }
    bool isReadable = true;
    for (const auto &[name, state] : *states) {
        // The prefix also covers services whose names continue this one.
        if (service.empty() || name == service) {
            isReadable = printStatus(session, name, state) && isReadable;
        }
    }
    return isReadable ? cli_exit::Ok : cli_exit::Failed;
}

cli_exit explainKey(const cli_session &session, const std::string &daemon,
                    const std::string &service, const std::string &key)
{
    const std::string target = absl::StrCat("/v1/explain?service=", encodeParameter(service),
                                            "&key=", encodeParameter(key));
    const auto body = session.hooks.httpGet(daemon, target);
    if (!body.ok()) {
        return session.fail(body.status());
    }
    const auto lines = flattenJson(*body);
    if (!lines.ok()) {
        return session.fail(lines.status());
    }
    for (const auto &[path, value] : *lines) {
        session.out << path << ": " << value << "\n";
    }
    return cli_exit::Ok;
}

cli_exit listMembers(const cli_session &session)
{
    const auto members = session.platform.list(memberDirectory);
    if (!members.ok()) {
        return session.fail(members.status());
    }
    cli_exit result = cli_exit::Ok;
    for (const auto &object : members->objects) {
        const std::string name = object.key.substr(sizeof memberDirectory - 1);
        const auto lines = flattenJson(object.value);
        if (!lines.ok()) {
            result = session.fail(absl::StrCat(name, ": ", std::string(lines.status().message())));
            continue;
        }
        session.out << name;
        for (const auto &[path, value] : *lines) {
            session.out << " " << path << "=" << value;
        }
        session.out << "\n";
    }
    return result;
}

} // namespace persimmonrail
